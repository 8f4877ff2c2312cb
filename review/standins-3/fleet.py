"""Stand-ins of the third review: the platform's store, backend servers,
a proxy, a client, and the daemon's processes, all on loopback addresses.

They speak what PROTOCOL.md says.  The daemon is started with the `run' line
of deploy/system.toml and with deploy/entry.toml as its settings.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time

TOP = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))

# The machines of crtg-kitchen, and their zones.
MACHINES = [("front-kingston-a-1", "kingston-a"),
            ("front-kingston-a-2", "kingston-a"),
            ("front-kingston-a-3", "kingston-a"),
            ("front-kingston-b-1", "kingston-b"),
            ("front-kingston-b-2", "kingston-b"),
            ("front-mandeville-1", "mandeville"),
            ("front-mandeville-2", "mandeville"),
            ("front-spanish-town-1", "spanish-town")]
# Those of its spare machines that add_nodes adds (share 0.75).
ADDED = [("front-kingston-a-4", "kingston-a"),
         ("front-kingston-b-3", "kingston-b"),
         ("front-mandeville-3", "mandeville")]
ZONES = ["kingston-a", "kingston-b", "spanish-town", "mandeville"]
# Time from the start of the machines to that of the traffic.
LEAD_S = 10

# Fields of the settings of a small deployment (crtg-kitchen).
FIELDS = {
    "limits": {"cpu_share": "0.25", "memory_mb": "260"},
    "bounds": {"drain_ms": "2000", "config_apply_ms": "2000", "grace_s": "8",
               "quota_slack": "11000", "budget_ratio": "0.2",
               "budget_window_s": "10", "budget_slack": "56",
               "lease_ms": "3000", "require_fence": True},
    "zones": {"kingston-a": "jm-central", "kingston-b": "jm-central",
              "spanish-town": "jm-central", "mandeville": "jm-central"},
}
BEAT_S = 1.2
# An entry goes after three intervals of silence.
SILENT_S = 3 * BEAT_S


given_ports = set()


def free_port():
    """A port of 127.0.0.1 at which nothing listens, below those that the
    system gives to outgoing connections; another one at each call."""
    while True:
        port = random.randint(10000, 32000)
        if port in given_ports:
            continue
        given_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def render(text, fields):
    """Fills in a template as DEPLOY.md says."""
    def section(match):
        negated, name, body = match.groups()
        value = lookup(fields, name)
        if negated == "^":
            return "" if value else render(body, fields)
        if not value:
            return ""
        if isinstance(value, dict):
            return "".join(body.replace("{{@}}", key).replace("{{.}}", item)
                           for key, item in value.items())
        return render(body, fields)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(lookup(fields, match.group(1)) or ""),
                  text)


async def read_message(reader):
    """First line, headers (names in lower case) and body of a request or an
    answer with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """A TCP server on 127.0.0.1."""

    async def listen(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0,
                                                 limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        return self

    async def accept(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Listener):
    """The platform's store: rows with versions, and feeds of changes."""

    def __init__(self):
        self.rows = {}    # (table, part, key): [value, version, removed]
        self.version = 0
        self.era = 0      # 0: its answers name none
        self.away = False
        self.kept = None
        self.heard = {}   # when a server wrote its entry last
        self.changed = asyncio.Condition()

    def copy(self):
        """Keeps a copy of all rows and the version."""
        self.kept = ({name: list(row) for name, row in self.rows.items()},
                     self.version)

    async def restore(self):
        """Comes back from that copy, in the next era."""
        self.rows, self.version = self.kept
        self.kept = None
        self.era += 1
        self.away = False
        self.heard = {name: time.monotonic() for name in self.rows
                      if name[0] == "servers"}
        async with self.changed:
            self.changed.notify_all()

    def row(self, name):
        value, version, removed = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2],
               "value": value, "ver": version}
        if removed:
            row["removed"] = True
        return row

    def live(self, name):
        return name in self.rows and not self.rows[name][2]

    async def put(self, table, key, value):
        """Writes a row as the operator and the servers do."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, "", key] = [text, self.version, False]
        if table == "servers":
            self.heard[table, "", key] = time.monotonic()
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, table, key):
        self.version += 1
        self.rows[table, "", key] = ["", self.version, True]
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Removes the entries of servers that were silent for too long."""
        while True:
            await asyncio.sleep(0.1)
            for name, at in list(self.heard.items()):
                if self.away or time.monotonic() - at < SILENT_S:
                    continue
                del self.heard[name]
                if self.live(name):
                    await self.remove(name[0], name[2])

    async def transact(self, call):
        names = [((row["table"], row.get("part", ""), row["key"]),
                  row.get("ver", 0)) for row in call.get("expected", [])]
        conflict = any((self.rows[name][1] if self.live(name) else 0) != ver
                       for name, ver in names)
        if conflict:
            return 412, [self.row(name) for name, _ in names
                         if self.live(name)]
        if call.get("put") or call.get("remove"):
            self.version += 1
        for row in call.get("put", []):
            self.rows[row["table"], row.get("part", ""), row["key"]] \
                = [row["value"], self.version, False]
        for row in call.get("remove", []):
            name = row["table"], row.get("part", ""), row["key"]
            if self.live(name):
                self.rows[name] = ["", self.version, True]
        async with self.changed:
            self.changed.notify_all()
        return 200, []

    def feed(self, table, after):
        names = [name for name, row in self.rows.items()
                 if name[0] == table and row[1] > after]
        return [self.row(name)
                for name in sorted(names, key=lambda n: self.rows[n][1])]

    async def call(self, line, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        values = dict(item.partition("=")[::2]
                      for item in query.split("&") if item)
        if path == "/-/rows-tx":
            await asyncio.sleep(0.005)
            return await self.transact(json.loads(body))
        if path == "/-/rows-parts":
            return 200, []
        table = values.get("table", "")
        if path == "/-/rows-get":
            part = values.get("part", "")
            names = sorted(name for name in self.rows
                           if name[:2] == (table, part) and self.live(name)
                           and name[2] >= values.get("from", "")
                           and ("to" not in values
                                or name[2] < values["to"]))
            return 200, [self.row(name) for name in names]
        if path == "/-/rows-feed":
            after = int(values.get("after", 0))
            era = self.era
            until = time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            while True:
                if after > self.version or era != self.era:
                    return 410, []
                rows = self.feed(table, after)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, rows
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, []

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if not message:
                return
            status, rows = 503, []
            if not self.away:
                status, rows = await self.call(message[0], message[2])
            if self.away:
                status, rows = 503, []
            body = {"rows": rows, "truncated": False, "ver": self.version,
                    "now_ms": int(time.monotonic() * 1000)}
            headers = [("Content-Type", "application/json")]
            if self.era:
                headers.append(("Store-Era", str(self.era)))
            writer.write(answer(status, json.dumps(body).encode(), headers))
            await writer.drain()


class Proxy(Listener):
    """Passes bytes on to TO.  While it is cut, what comes is held back, in
    both directions, and new connections get nothing; a connection whose first
    bytes hold CUTS is cut, or any if CUTS is None."""

    def __init__(self, to, cuts=None):
        self.to = to
        self.cuts = cuts
        self.healed = asyncio.Event()
        self.healed.set()

    def cut(self):
        self.healed.clear()

    def heal(self):
        self.healed.set()

    async def relay(self, reader, writer, is_cut):
        try:
            while True:
                data = await reader.read(65536)
                if is_cut():
                    await self.healed.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        first = b""
        if self.cuts:
            first = await reader.read(65536)
        is_cut = (lambda: not self.cuts or self.cuts in first)
        if is_cut():
            await self.healed.wait()
        host, port = self.to.split(":")
        there, back = await asyncio.open_connection(host, int(port))
        back.write(first)
        await asyncio.gather(self.relay(reader, back, is_cut),
                             self.relay(there, writer, is_cut))


class StreamServer(Listener):
    """A model server.  Its streams have N_EVENTS events, one each 100 ms, and
    each event names the software version and the id of the server."""

    N_EVENTS = 40
    GAP_S = 0.1

    def __init__(self, store, service, model, version, zone, name):
        self.store = store
        self.service = service
        self.model = model
        self.version = version
        self.zone = zone
        self.id = name
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.ran = []     # (request id, Last-Event-Id or 0)

    def models(self):
        return [{"name": self.model, "version": 1, "adapters": []}]

    async def beat(self):
        self.seq += 1
        await self.store.put("servers", self.id, {
            "backend": self.service, "address": self.address,
            "zone": self.zone, "version": self.version, "slots": 64,
            "state": "ready", "cold_left_ms": 0, "stage": "colocated",
            "models": self.models(), "seq": self.seq, "born": self.born})

    async def live(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    def report(self):
        return {"stage": "colocated", "models": self.models(), "busy": False,
                "seq": 0, "queued": 0, "running": self.running,
                "kv_used": self.running * 1000, "kv_total": 140481,
                "handles": 0, "at_hand": {"in_memory": [], "on_disk": []},
                "pinned": 0, "held": 0, "state": "ready", "runs": [],
                "born": self.born}

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if not message:
                return
            line, headers, _ = message
            path = line.split(" ")[1].partition("?")[0]
            if headers.get("x-expect-instance", self.id) != self.id:
                writer.write(answer(421, b"", [("X-Instance-Id", self.id),
                                               ("X-Not-Run", "1")]))
            elif path == "/health":
                writer.write(answer(200, b"", [("X-Instance-Id", self.id)]))
            elif path == "/-/report":
                writer.write(answer(200, json.dumps(self.report()).encode(),
                                    [("Content-Type", "application/json")]))
            elif path == "/-/order":
                writer.write(answer(200))
            elif path in ("/-/kv-events", "/-/kv-list"):
                writer.write(answer(200, json.dumps(
                    {"epoch": 1, "next": 0, "lost": False, "events": [],
                     "held": []}).encode(),
                    [("Content-Type", "application/json")]))
            elif path.startswith("/-/"):
                writer.write(answer(404))
            else:
                await self.stream(headers, writer)
            await writer.drain()

    async def stream(self, headers, writer):
        request = headers.get("x-request-id", "")
        after = int(headers.get("last-event-id", 0))
        self.ran.append((request, after))
        head = [("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
                ("X-Request-Id", request),
                ("X-Server-Stamp", "stamp." + request),
                ("X-Weight-Versions", "1")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            "%s: %s\r\n" % item for item in head) + "\r\n").encode())
        self.running += 1
        try:
            for number in range(after + 1, self.N_EVENTS + 1):
                await asyncio.sleep(self.GAP_S)
                event = b"id: %d\ndata: %s %s\n\n" % (
                    number, self.version.encode(), self.id.encode())
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class DeskServer(Listener):
    """A server of a service without models: it answers after WORK_S."""

    WORK_S = 0.015

    def __init__(self, store, service, zone, name):
        self.store = store
        self.service = service
        self.zone = zone
        self.id = name
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.writers = set()
        self.more = []    # headers of its answers
        self.ran = []     # (time, organisation, request id)

    async def run(self, headers, body):
        """Works on a request; returns the body of the answer."""
        await asyncio.sleep(self.WORK_S)
        return b"done"

    def crash(self):
        """Ends at once: its connections are reset, and it listens no more."""
        self.state = "gone"
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def beat(self):
        self.seq += 1
        await self.store.put("servers", self.id, {
            "backend": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 6,
            "state": self.state, "cold_left_ms": 0, "seq": self.seq,
            "born": self.born})

    async def live(self):
        while self.state != "gone":
            if not self.store.away:
                await self.beat()
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        while True:
            message = await read_message(reader)
            if not message or self.state == "gone":
                return
            line, headers, body = message
            path = line.split(" ")[1].partition("?")[0]
            request = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.id) != self.id:
                writer.write(answer(421, b"", [("X-Instance-Id", self.id),
                                               ("X-Not-Run", "1")]))
            elif path == "/health":
                writer.write(answer(200, b"", [("X-Instance-Id", self.id)]))
            elif path.startswith("/-/"):
                writer.write(answer(404))
            else:
                self.ran.append((time.monotonic(),
                                 headers.get("x-tenant", ""), request))
                result = await self.run(headers, body)
                if self.state == "gone":
                    return
                writer.write(answer(200, result,
                                    [("X-Request-Id", request),
                                     ("X-Server-Stamp", "stamp." + request)]
                                    + self.more))
            await writer.drain()


class Daemon:
    """One process of the deploy file's only role."""

    def __init__(self, name, zone, folder, store_address):
        self.name = name
        self.zone = zone
        self.folder = folder
        self.store = store_address
        self.front = "127.0.0.1:%d" % free_port()
        self.ready = "127.0.0.1:%d" % free_port()
        self.directory = "127.0.0.1:%d" % free_port()
        self.operator = free_port()
        self.peers = "127.0.0.1:%d" % free_port()
        self.peers_told = None    # where others reach it, if not at peers
        self.process = None

    def settings(self):
        fields = dict(FIELDS, node=self.name, zone=self.zone, ip="127.0.0.1",
                      listen={"front": self.front, "ready": self.ready,
                              "directory": self.directory},
                      provider={"address": self.store},
                      port_range={"0": self.peers.split(":")[1],
                                  "1": self.operator})
        with open(os.path.join(TOP, "deploy", "entry.toml")) as template:
            text = render(template.read(), fields)
        if self.peers_told:
            text = text.replace("[peers]\n", "[peers]\naddress = \"%s\"\n"
                                % self.peers_told)
        return text

    async def start(self):
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w") as settings:
            settings.write(self.settings())
        with open(os.path.join(TOP, "deploy", "system.toml")) as deploy:
            run = re.search(r'^run = "(.*)"', deploy.read(), re.M).group(1)
        words = run.replace("/etc/knapweedfork/boot.conf", path).split()
        words[0] = os.path.join(TOP, words[0])
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=TOP, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": self.folder, "KNAPWEEDFORK_NODE_FILE": path})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        try:
            return (await get(self.ready, "/-/ready"))[0] == 200
        except OSError:
            return False


async def get(address, target, headers=(), timeout_s=2.0):
    return await send("GET", address, target, headers, b"", timeout_s)


async def send(method, address, target, headers=(), content=b"",
               timeout_s=2.0):
    """Sends a request on a connection of its own; returns the status and the
    body of the answer."""
    host, port = address.split(":")

    async def call():
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["%s %s HTTP/1.1" % (method, target)]
        lines += ["%s: %s" % item for item in headers or [("Host", "x")]]
        if content:
            lines.append("Content-Length: %d" % len(content))
        writer.write(("\r\n".join(lines) + "\r\nConnection: close\r\n\r\n")
                     .encode() + content)
        try:
            message = await read_message(reader)
        finally:
            writer.close()
        if not message:
            raise ConnectionError("no answer")
        return int(message[0].split(" ")[1]), message[2]
    try:
        return await asyncio.wait_for(call(), timeout_s)
    except asyncio.TimeoutError as error:
        raise ConnectionError("no answer in time") from error


async def read_events(reader, events, enough=None):
    """Appends (id, data) of the events of a chunked answer to EVENTS, until it
    has ENOUGH of them or ends; returns whether it ended as complete."""
    text = b""
    while enough is None or len(events) < enough:
        line = await reader.readuntil(b"\r\n")
        size = int(line, 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return True
        text += data
        while b"\n\n" in text:
            event, text = text.split(b"\n\n", 1)
            fields = dict(part.split(": ", 1)
                          for part in event.decode().split("\n")
                          if ": " in part)
            if "id" in fields:
                events.append((int(fields["id"]), fields.get("data", "")))
    return False


async def take_stream(address, target, headers, record, enough=None,
                      timeout_s=15.0):
    """Sends a request for a stream and notes in RECORD its status and its
    events.  With ENOUGH, the connection is reset after so many events."""
    record.update(address=address, status=0, events=[], complete=False,
                  headers={})
    host, port = address.split(":")

    async def call():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"{}"
            lines = ["POST %s HTTP/1.1" % target]
            lines += ["%s: %s" % item for item in headers]
            lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            text = head.decode("latin-1").split("\r\n")
            record["status"] = int(text[0].split(" ")[1])
            record["headers"] = dict(
                (line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip())
                for line in text[1:] if ":" in line)
            if record["status"] == 200:
                record["complete"] = await read_events(
                    reader, record["events"], enough)
            if enough is not None:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                b"\x01\0\0\0\0\0\0\0")
        finally:
            writer.close()
    try:
        await asyncio.wait_for(call(), timeout_s)
    except (OSError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as error:
        record["error"] = repr(error)


async def wait_until_ready(daemons, timeout_s=10.0):
    """Returns whether all of DAEMONS got ready in time."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if all([await daemon.is_ready() for daemon in daemons]):
            return True
        await asyncio.sleep(0.05)
    return False


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def note(self, text, *values):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began,
                                        text % values))
        self.file.flush()


HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110


async def run_case(play, record, prepare):
    """Calls PLAY with the store and the daemons that PREPARE made in a
    temporary folder, and ends what it started."""
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="kwf-review-") as folder:
        store = await Store().listen()
        asyncio.ensure_future(store.expire())
        daemons = await prepare(folder, store)
        try:
            result = await asyncio.wait_for(play(store, daemons), LIMIT_S)
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            for daemon in daemons:
                await daemon.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
    record.note("%s", ["held", "broken", "could not run"][result])
    return result


async def make_fleet(folder, store):
    """The daemons of all machines, not started yet."""
    return [Daemon(name, zone, folder, store.address)
            for name, zone in MACHINES]


async def make_larger_fleet(folder, store):
    """The same with those that are added."""
    return await make_fleet(folder, store) + [
        Daemon(name, zone, folder, store.address) for name, zone in ADDED]
