"""Stand-ins for the cases of the second review: the platform's store, clients,
and a small deployment of the daemon on loopback.

The store speaks the subset of PROTOCOL.md that the daemon calls: rows-tx,
rows-get and rows-feed.  It is linearizable and loses nothing.  Model replicas
are processes of their own (engine.py), so that they can crash.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "shop.example"
NET = 32 + os.getpid() % 64  # 127.NET.x.y, so that two cases can run at once


def now_ms():
    return time.monotonic() * 1000


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


# The platform's store.


class Rows:
    def __init__(self):
        self.changed = threading.Condition()
        self.version = 1
        self.rows = {}  # (table, part, key) -> (version, value)
        self.history = []  # (version, table, row)

    def row(self, key):
        version, value = self.rows.get(key, (0, None))
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is not None:
            row["value"] = value
        return row

    def transact(self, expected, put, remove):
        with self.changed:
            name = lambda r: (r["table"], r.get("part", ""), r["key"])
            rows = [self.row(name(r)) for r in expected]
            if any(r["ver"] != e.get("ver", 0) for r, e in zip(rows, expected)):
                return False, rows
            self.version += 1
            for r in put:
                self.rows[name(r)] = (self.version, r["value"])
                self.history.append((self.version, r["table"], self.row(name(r))))
            for r in remove:
                if self.rows.pop(name(r), None):
                    gone = dict(zip(("table", "part", "key"), name(r)))
                    gone.update(ver=self.version, removed=True)
                    self.history.append((self.version, r["table"], gone))
            self.changed.notify_all()
            return True, []

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.transact([], [{"table": table, "key": key, "value": text}], [])

    def remove(self, table, key):
        self.transact([], [], [{"table": table, "key": key}])

    def answer(self, **more):
        return dict(more, ver=self.version, now_ms=int(now_ms()))

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", 500))
        with self.changed:
            names = sorted(
                k
                for k in self.rows
                if k[0] == table
                and k[1] == part
                and k[2] >= start
                and (not end or k[2] < end)
            )
            rows = [self.row(k) for k in names[:limit]]
            return self.answer(rows=rows, truncated=len(names) > limit)

    def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1e3
        with self.changed:
            while True:
                rows = [r for v, t, r in self.history if v > after and t == table]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return self.answer(rows=rows)
                self.changed.wait(left)


def start_store(ip):
    rows = Rows()

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def reply(self, status, value):
            body = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def do_GET(self):
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            if url.path == "/-/rows-get":
                self.reply(200, rows.get(query))
            elif url.path == "/-/rows-feed":
                self.reply(200, rows.feed(query))
            else:
                self.reply(404, {})

        def do_POST(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            if urlsplit(self.path).path != "/-/rows-tx":
                self.reply(404, {})
                return
            call = json.loads(body)
            tables = [r["table"] for r in call.get("put", []) + call.get("remove", [])]
            if any(t in ("op", "servers") for t in tables):
                self.reply(403, {})
                return
            time.sleep(0.005)
            good, found = rows.transact(
                call.get("expected", []), call.get("put", []), call.get("remove", [])
            )
            self.reply(200 if good else 412, rows.answer(**({} if good else {"rows": found})))

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, *_):
            pass

    server = Server((ip, 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    rows.address = "%s:%d" % server.server_address
    rows.server = server
    return rows


# Settings: the deploy file's template, filled in as DEPLOY.md says.


def look_up(fields, name):
    for part in name.split("."):
        if not isinstance(fields, dict) or part not in fields:
            return None
        fields = fields[part]
    return fields


def fill(text, fields):
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def replace(found):
        kind, name, body = found.groups()
        value = look_up(fields, name)
        if kind == "^":
            return "" if value else fill(body, fields)
        if isinstance(value, dict):
            parts = []
            for key, entry in value.items():
                part = body.replace("{{@}}", key).replace("{{.}}", str(entry))
                parts.append(fill(part, fields))
            return "".join(parts)
        return fill(body, fields) if value or value == 0 and value is not False else ""

    text = section.sub(replace, text)

    def value_of(found):
        value = look_up(fields, found.group(1))
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


# Bounds and limits of Guild Kitchen's sheet.
BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
    "strict_revoke": False, "budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 56, "quota_slack": 11000, "require_fence": True,
    "lease_ms": 3000,
}
LIMITS = {"cpu_share": 0.25, "memory_mb": 260}


handed_out = set()


def free_port(ip):
    """A free port of IP that was not returned before."""
    while True:
        with socket.socket() as s:
            s.bind((ip, 0))
            port = s.getsockname()[1]
        if port not in handed_out:
            handed_out.add(port)
            return port


class World:
    """The store, the daemons and the replicas of one run."""

    def __init__(self, folder, instances=3, limits=LIMITS):
        self.record = Record(folder)
        self.directory = tempfile.mkdtemp(prefix="kwf-review-")
        self.processes = []
        self.engines = {}
        self.store = start_store("127.%d.0.1" % NET)
        self.limits = limits
        self.instances = [self.start_instance(i) for i in range(instances)]

    def start_instance(self, i):
        ip = "127.%d.1.%d" % (NET, i + 1)
        node = {"name": "front-a-%d" % (i + 1), "ip": ip}
        listen = {n: "%s:%d" % (ip, free_port(ip)) for n in ("front", "ready", "directory")}
        node.update(listen)
        fields = {
            "node": node["name"], "zone": "zone-a", "ip": ip, "bounds": BOUNDS,
            "limits": self.limits, "listen": listen, "zones": {"zone-a": "region-a"},
            "port_range": {"0": free_port(ip), "1": free_port(ip)},
            "provider": {"address": self.store.address},
        }
        with open(os.path.join(ROOT, "deploy", "entry.toml")) as template:
            text = fill(template.read(), fields)
        path = os.path.join(self.directory, node["name"] + ".toml")
        with open(path, "w") as settings:
            settings.write(text)
        node["log"] = os.path.join(self.directory, node["name"] + ".log")
        node["command"] = [os.path.join(ROOT, "target/bin/knapweedforkd"), "--config", path]
        self.run_instance(node)
        return node

    def run_instance(self, node):
        node["process"] = self.spawn(node["command"], open(node["log"], "ab"))

    def spawn(self, command, output):
        process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, cwd=ROOT)
        self.processes.append(process)
        return process

    def start_engine(self, name, service, model, **options):
        """Starts the replica NAME, or starts it again at its address."""
        engine = self.engines.get(name)
        if not engine:
            ip = "127.%d.2.%d" % (NET, len(self.engines) + 1)
            engine = {"id": name, "address": "%s:%d" % (ip, free_port(ip)), "seq": 0,
                      "runs": os.path.join(self.directory, name + ".out")}
            self.engines[name] = engine
        engine["born"] = int(time.time() * 1000)
        engine["seq"] += 1
        options.update(id=name, address=engine["address"], runs=engine["runs"],
                       born=engine["born"], model=model)
        engine["process"] = self.spawn(
            [sys.executable, "-B", os.path.join(HERE, "engine.py"), json.dumps(options)],
            open(os.path.join(self.directory, name + ".err"), "ab"),
        )
        wait_for_port(engine["address"])
        models = [{"name": model, "version": 1, "adapters": []}] if model else []
        self.store.put("servers", name, {
            "backend": service, "address": engine["address"], "zone": "zone-a",
            "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
            "stage": "colocated", "models": models, "seq": engine["seq"],
            "born": engine["born"]})
        self.record.write("engine %s starts, holds %s" % (name, model or "nothing"))
        return engine

    def wait_until_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for node in self.instances:
            while time.monotonic() < end:
                try:
                    if get(node["ready"], "/-/ready", timeout=1)["status"] == 200:
                        break
                except OSError:
                    pass
                time.sleep(0.1)
            else:
                return False
        return True

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
        for process in self.processes:
            process.wait()
        self.store.server.shutdown()
        shutil.rmtree(self.directory, ignore_errors=True)


def wait_for_port(address, limit_s=10):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            with connect(address, 1):
                return
        except OSError:
            time.sleep(0.05)
    raise OSError("nothing listens at " + address)


# Clients.


def connect(address, timeout):
    ip, port = address.rsplit(":", 1)
    return socket.create_connection((ip, int(port)), timeout)


def read_answer(connection):
    """Reads one answer.  Its end: "length", "chunks" or "close" if it is complete
    by its framing, else "cut" or "reset"."""
    data = b""
    end = None
    answer = {"status": 0, "headers": {}, "body": b"", "end": "cut"}
    try:
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                return answer
            data += more
        head, body = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer["status"] = int(lines[0].split()[1])
        for line in lines[1:]:
            name, value = line.split(":", 1)
            answer["headers"][name.strip().lower()] = value.strip()
        headers = answer["headers"]
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                while b"\r\n" not in body:
                    more = connection.recv(65536)
                    if not more:
                        return answer
                    body += more
                size, rest = body.split(b"\r\n", 1)
                size = int(size.split(b";")[0], 16)
                while len(rest) < size + 2:
                    more = connection.recv(65536)
                    if not more:
                        answer["body"] += rest
                        return answer
                    rest += more
                answer["body"] += rest[:size]
                body = rest[size + 2 :]
                if size == 0:
                    answer["end"] = "chunks"
                    return answer
        elif "content-length" in headers:
            size = int(headers["content-length"])
            while len(body) < size:
                more = connection.recv(65536)
                if not more:
                    answer["body"] = body
                    return answer
                body += more
            answer["body"] = body
            answer["end"] = "length"
        else:
            answer["body"] = body
            while True:
                more = connection.recv(65536)
                if not more:
                    answer["end"] = "close"
                    return answer
                answer["body"] += more
    except ConnectionResetError:
        answer["end"] = "reset"
    except socket.timeout:
        answer["end"] = "timeout"
    return answer


def send(connection, method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % h for h in headers.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def get(address, path, timeout=5):
    with connect(address, timeout) as connection:
        send(connection, "GET", path, {"Host": "x"})
        return read_answer(connection)


def call(address, method, path, request_id, key=None, deadline_ms=2500, body=b"", more=None):
    """One client attempt on a new connection."""
    headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["X-Api-Key"] = key
    headers.update(more or {})
    try:
        with connect(address, 1) as connection:
            connection.settimeout(deadline_ms / 1e3)
            send(connection, method, path, headers, body)
            return read_answer(connection)
    except OSError as error:
        return {"status": 0, "headers": {}, "body": b"", "end": "failed: %s" % error}
