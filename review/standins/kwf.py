"""Stand-ins for the cases of this review: the platform's store, backend
servers and clients, in the platform's protocol, and the daemon as a process.

All addresses are loopback addresses, all ports are free ones.  Only the
standard library is used.
"""

import asyncio
import base64
import ctypes
import json
import pathlib
import random
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]


def die_with_parent():
    """The daemons end with the case, however it ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


# All listeners of a case are at one loopback address of its own, so that cases
# that run at the same time do not take each other's ports.
HOST = "127." + ".".join(str(random.randrange(1, 255)) for _ in range(3))
used_ports = set()


def free_port():
    """A free port below those that the kernel gives to connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            return port


async def read_head(reader):
    """The first line and the headers (list of pairs) of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


def header(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_chunks(reader):
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        return await read_chunks(reader)
    size = int(header(headers, "Content-Length") or 0)
    return await reader.readexactly(size) if size else b""


class Store:
    """Tables of rows: rows-get, rows-feed and rows-tx of PROTOCOL.md."""

    def __init__(self):
        self.rows = {}      # (table, part, key) -> (base64 value, ver)
        self.log = []       # (ver, (table, part, key))
        self.ver = 0
        self.changed = asyncio.Event()
        self.hooks = []     # called with (path, query, body) -> None or str
        self.address = None
        self.server = None
        self.begin = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0,
                                                 limit=1 << 22)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def now_ms(self):
        return int((time.monotonic() - self.begin) * 1000) + 50000

    def apply(self, puts, removes):
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.ver)
            self.log.append((self.ver, (table, part, key)))
        for where in removes:
            self.rows.pop(where, None)
            self.log.append((self.ver, where))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, table, key, obj):
        text = obj if isinstance(obj, str) else json.dumps(obj)
        value = base64.b64encode(text.encode()).decode()
        self.apply([(table, "", key, value)], [])

    def remove(self, table, key):
        self.apply([], [(table, "", key)])

    def get(self, table, key):
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def row(self, where):
        value = self.rows.get(where)
        table, part, key = where
        item = {"table": table, "part": part, "key": key}
        if value:
            item.update(value=value[0], ver=value[1])
        return item

    def answer_get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part
                      and k >= first and (last is None or k < last))
        rows = [self.row((table, part, k)) for k in keys[:limit]]
        return 200, {"rows": rows, "truncated": len(keys) > limit,
                     "ver": self.ver, "now_ms": self.now_ms()}

    async def answer_feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            newest = {}
            for ver, where in self.log:
                if ver > after and where[0] == table:
                    newest[where] = ver
            left = until - time.monotonic()
            if newest or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for where, ver in sorted(newest.items(), key=lambda x: x[1]):
            item = self.row(where)
            if where not in self.rows:
                item.update(removed=True, ver=ver)
            rows.append(item)
        return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}

    def answer_tx(self, body):
        call = json.loads(body)
        expected = call.get("expected", [])
        place = lambda r: (r["table"], r.get("part", ""), r["key"])
        for row in expected:
            known = self.rows.get(place(row))
            if (known[1] if known else 0) != row["ver"]:
                rows = [self.row(place(r)) | ({} if place(r) in self.rows
                                              else {"ver": 0})
                        for r in expected]
                return 412, {"rows": rows, "ver": self.ver,
                             "now_ms": self.now_ms()}
        puts = [place(r) + (r["value"],) for r in call.get("put", [])]
        removes = [place(r) for r in call.get("remove", [])]
        if puts or removes:
            self.apply(puts, removes)
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(
                    url.query, keep_blank_values=True))
                act = None
                for hook in list(self.hooks):
                    act = act or hook(url.path, query, body)
                if act == "busy":
                    status, answer = 503, {}
                elif url.path == "/-/rows-get":
                    status, answer = self.answer_get(query)
                elif url.path == "/-/rows-feed":
                    status, answer = await self.answer_feed(query)
                elif url.path == "/-/rows-tx":
                    status, answer = self.answer_tx(body)
                else:
                    status, answer = 404, {}
                if act == "lose":
                    writer.transport.abort()
                    return
                if isinstance(act, (int, float)):
                    await asyncio.sleep(act)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Request:
    def __init__(self, line, headers, reader, writer):
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.reader = reader
        self.writer = writer
        self.id = header(headers, "X-Request-Id") or ""
        self.at = time.monotonic()
        self.body = b""


class Server:
    """A backend server.  HANDLER (server, request) writes the answer and
    returns whether the connection is kept."""

    def __init__(self, store, name, service, handler, zone="z1", extra=None,
                 slots=6):
        self.store, self.name, self.service = store, name, service
        self.handler, self.zone, self.slots = handler, zone, slots
        self.extra = extra or {}
        self.born = int(time.time() * 1000)
        self.port = 0
        self.server = None
        self.writers = set()
        self.seq = 0

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.born = int(time.time() * 1000)
        try:
            self.server = await self.listen()
        except OSError:
            # Something else has got the port: a new process of this server
            # is at another address then.
            self.port = 0
            self.server = await self.listen()
        self.port = self.server.sockets[0].getsockname()[1]

    def listen(self):
        return asyncio.start_server(self.serve, HOST, self.port,
                                    limit=1 << 23, reuse_address=True)

    def register(self, state="ready"):
        self.seq += 1
        self.store.put("servers", self.name, {
            "backend": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_left_ms": 0, "seq": self.seq,
            "born": self.born, **self.extra})

    async def crash(self):
        """The process ends: its listener closes and its connections are
        reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                request = Request(line, headers, reader, writer)
                expected = header(headers, "X-Expect-Instance")
                if expected and expected != self.name:
                    request.body = await read_body(reader, headers)
                    await answer(request, 421, b"", ("X-Not-Run", "1"),
                                 ("X-Instance-Id", self.name))
                    continue
                if not await self.handler(self, request):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def answer(request, status, body, *headers, stamp=True):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += f"X-Request-Id: {request.id}\r\n"
    if stamp and status < 300:
        head += "X-Server-Stamp: s1\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    request.writer.write(head.encode() + b"\r\n" + body)
    await request.writer.drain()


BOUNDS = {"drain_ms": 2000, "config_apply_ms": 2000, "quota_slack": 11000,
          "grace_s": 8, "budget_ratio": 0.2, "budget_window_s": 10,
          "budget_slack": 56, "lease_ms": 3000}


class Daemon:
    """An entry instance, started with the command of deploy/system.toml."""

    def __init__(self, store, name, directory, zone="z1", checked=True):
        self.store, self.name, self.zone = store, name, zone
        self.directory = directory
        self.checked = checked
        self.process = None
        self.ports = {p: free_port() for p in ("front", "ready", "directory",
                                               "operator", "peer")}

    def settings(self):
        p, b = self.ports, BOUNDS
        at = {k: f"{HOST}:{v}" for k, v in p.items()}
        return f"""[instance]
id = "{self.name}"
data_centre = "{self.zone}"
cores = 0.25
[callers]
listen = "{at['front']}"
ready_listen = "{at['ready']}"
directory_listen = "{at['directory']}"
address_lifetime_ms = 1000
idle_ms = 60000
max_connections = 3000
grace_s = {b['grace_s']}
[limits]
overdraft = {b['quota_slack']}
[operator]
listen = "{at['operator']}"
[peers]
listen = "{at['peer']}"
[platform]
address = "{self.store.address}"
protocol = "rows"
fresh_ms = {b['drain_ms']}
lists_ms = {b['config_apply_ms']}
[keys]
withdrawn = "finish"
[session]
lease_ms = 300000
renew_ms = 100000
[backend]
retry_share = {b['budget_ratio']}
retry_window_s = {b['budget_window_s']}
retry_slack = {b['budget_slack']}
[placement]
mode = "dynamic"
weight = "attainment"
lease_ms = {b['lease_ms']}
tokens = "{'checked' if self.checked else 'unchecked'}"
[log]
format = "json"
level = "info"
"""

    async def start(self):
        path = pathlib.Path(self.directory) / f"{self.name}.toml"
        path.write_text(self.settings())
        log = open(pathlib.Path(self.directory) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/bin/knapweedforkd"), "--config", str(path),
            stdout=log, stderr=log, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            preexec_fn=die_with_parent)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                status, _, _, _ = await call(self.ports["ready"], "GET",
                                             "/-/ready", limit=1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False


async def call(port, method, target, headers=(), body=None, limit=10,
               host="h.example"):
    """One request on a new connection: status (0: none), headers, body and
    whether the answer was whole."""

    async def run():
        reader, writer = await asyncio.open_connection(
            HOST, port, limit=1 << 23)
        try:
            head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            for name, value in headers:
                head += f"{name}: {value}\r\n"
            if body is not None:
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + (body or b""))
            try:
                line, answer_headers = await read_head(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0, [], b"", False
            status = int(line.split(" ")[1])
            try:
                if header(answer_headers, "Content-Length") is None and \
                        not header(answer_headers, "Transfer-Encoding"):
                    return status, answer_headers, await reader.read(), True
                return (status, answer_headers,
                        await read_body(reader, answer_headers), True)
            except (asyncio.IncompleteReadError, ConnectionError):
                return status, answer_headers, b"", False
        finally:
            writer.close()
    return await asyncio.wait_for(run(), limit)


def temporary_directory():
    return tempfile.mkdtemp(prefix="kwf-review-")
