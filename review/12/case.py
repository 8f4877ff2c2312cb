"""Machines that are partitioned from all servers still take clients'
requests, and fail them.  See claim.txt."""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, HOST, PATH = "booking", "kitchen.example", "/book/x"
# All machines of one zone are cut off from all servers.
CUT_ZONE = "kingston-a"
BEFORE_S, CUT_S = 5.0, 9.0
CONTACT_S = 3.0     # bounds.contact_ms
CLIENTS_EACH_ZONE = 10
REQUESTS_PER_S = 80
DIRECTORY_S = 1.0   # a client's patience with one directory
DEADLINE_MS = 1000

record = fleet.Record(HERE)
note = record.note
sent_to = {}        # request id to the name of a machine
tries = []          # (time, machine, status) of the clients' first tries
cut_off = set()     # names of machines
healed = asyncio.Event()


def find_sender(port, daemons):
    """The machine whose process has the socket of 127.0.0.1:PORT."""
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table]
    local = "0100007F:%04X" % port
    inodes = {"socket:[%s]" % row[9] for row in rows if row[1] == local}
    for daemon in daemons:
        folder = "/proc/%d/fd" % daemon.process.pid
        try:
            for name in os.listdir(folder):
                if os.readlink(os.path.join(folder, name)) in inodes:
                    return daemon.name
        except OSError:
            pass    # it has ended, or closed what was listed
    return None


class Path(fleet.Listener):
    """The path from the machines to a server.  The id of the first request on
    a connection tells whose it is, or its socket, if the request has none;
    what passes on connections of machines that are cut off is held back, in
    both directions."""

    def __init__(self, to, daemons):
        self.to = to
        self.daemons = daemons

    async def relay(self, reader, writer, sender):
        try:
            while True:
                data = await reader.read(65536)
                if sender in cut_off:
                    await healed.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        first = await reader.read(65536)
        head = first.decode("latin-1").lower()
        number = head.partition("x-request-id: ")[2].partition("\r")[0]
        sender = sent_to.get(number)
        if first and not sender:
            port = writer.get_extra_info("peername")[1]
            sender = find_sender(port, self.daemons)
            note("%s from %s", head.partition("\r")[0], sender)
        if sender in cut_off:
            await healed.wait()
        host, port = self.to.split(":")
        there, back = await asyncio.open_connection(host, int(port))
        back.write(first)
        await asyncio.gather(self.relay(reader, back, sender),
                             self.relay(there, writer, sender))


async def configure(store):
    await store.put("op", "config", {
        "version": 7,
        "routes": [{"name": "r1", "hostname": HOST, "path_prefix": "/book/",
                    "kind": "idempotent", "timeout_ms": DEADLINE_MS,
                    "target_latency_ms": 120, "priority": 2,
                    "backend": SERVICE, "max_attempts": 2, "public": True,
                    "sticky": False, "resumable": False}],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_conns": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
        "tenants": []})


async def try_first(daemon):
    number = "%016x" % (len(sent_to) + 1)
    sent_to[number] = daemon.name
    began = time.monotonic()
    try:
        status, _ = await fleet.get(
            daemon.front, PATH, [("Host", HOST), ("X-Request-Id", number),
                                 ("X-Deadline-Ms", str(DEADLINE_MS))],
            DEADLINE_MS / 1000 + 0.05)
    except OSError:
        status = 0
    tries.append((began, daemon.name, status))


async def resolve(daemons, zone):
    """Asks up to three directories, the nearest first."""
    near = sorted(daemons, key=lambda daemon: daemon.zone != zone)
    for daemon in near[:3]:
        try:
            _, body = await fleet.get(
                daemon.directory, "/-/resolve?name=%s&region=jm-central&zone="
                "%s" % (HOST, zone), (), DIRECTORY_S)
            told = json.loads(body)
            if told["addresses"]:
                return told["addresses"], told["ttl_s"]
        except (OSError, ValueError):
            pass
    return None


async def run_client(daemons, zone):
    addresses, until = [], 0
    per_s = REQUESTS_PER_S / CLIENTS_EACH_ZONE / len(fleet.ZONES)
    while True:
        await asyncio.sleep(random.expovariate(per_s))
        if time.monotonic() >= until:
            told = await resolve(daemons, zone)
            if told:
                addresses, until = told[0], time.monotonic() + told[1]
        if addresses:
            address = random.choice(addresses)
            asyncio.ensure_future(try_first(
                next(d for d in daemons if d.front == address)))


async def note_state(daemons):
    for daemon in daemons:
        _, body = await fleet.get(
            daemon.directory, "/-/resolve?name=%s&region=jm-central&zone=%s"
            % (HOST, daemon.zone))
        addresses = json.loads(body)["addresses"]
        note("%s is ready: %s; its directory names %d machines", daemon.name,
             await daemon.is_ready(), len(addresses))


def count(since, until, names, what):
    """How many first tries there were at machines NAMES, and how many were
    served."""
    chosen = [status for at, name, status in tries
              if since <= at < until and name in names]
    note("%.1f to %.1f s, %s: %d first tries; statuses %s",
         since - record.began, until - record.began, what, len(chosen),
         {status: chosen.count(status) for status in set(chosen)})
    return len(chosen), chosen.count(200)


async def play(store, daemons):
    for i, zone in enumerate(fleet.ZONES):
        server = await fleet.DeskServer(store, SERVICE, zone,
                                        "i-%d" % i).listen()
        path = await Path(server.address, daemons).listen()
        server.address = path.address
        asyncio.ensure_future(server.live())
    await configure(store)
    for daemon in daemons:
        await daemon.start()
    if not await fleet.wait_until_ready(daemons):
        note("not all machines got ready")
        return fleet.COULD_NOT_RUN
    await asyncio.sleep(fleet.LEAD_S)
    for zone in fleet.ZONES * CLIENTS_EACH_ZONE:
        asyncio.ensure_future(run_client(daemons, zone))
    await asyncio.sleep(BEFORE_S)
    zone = {daemon.name for daemon in daemons if daemon.zone == CUT_ZONE}
    began = time.monotonic()
    if TROUBLE:
        cut_off.update(zone)
        note("cut off from all servers: %s", ", ".join(sorted(zone)))
    await asyncio.sleep(CONTACT_S + 1)
    await note_state(daemons)
    await asyncio.sleep(began + CUT_S - time.monotonic())
    ended = time.monotonic()
    await asyncio.sleep(DEADLINE_MS / 1000 + 0.2)
    cut_off.clear()
    healed.set()
    note("the cut has healed")
    others = {daemon.name for daemon in daemons} - zone
    for at, name, status in tries:
        note("%.3f s at %s: %d", at - record.began, name, status)
    n_before, served_before = count(began - BEFORE_S + 1, began, zone,
                                    CUT_ZONE)
    n_cut, served_cut = count(began + CONTACT_S, ended, zone, CUT_ZONE)
    n_others, served_others = count(began + CONTACT_S, ended, others,
                                    "elsewhere")
    if served_before < n_before * 0.9 or not n_others:
        return fleet.COULD_NOT_RUN
    failed = n_cut - served_cut
    allowed = 10 + (n_cut + n_others) / 50
    note("served: %d of %d, and %d of %d at the others; failed: %d, allowed "
         "%.0f", served_cut, n_cut, served_others, n_others, failed, allowed)
    rarer = n_cut and served_cut / n_cut < served_others / n_others * 2 / 3
    return fleet.BROKEN if rarer and failed > allowed else fleet.HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(play, record, fleet.make_fleet)))
