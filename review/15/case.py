"""After the store came back from a copy, machines that were added since act
apart from the others, and servers get more than the limit that they name.
See claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, HOST, PATH = "booking", "kitchen.example", "/book/x"
SERVERS_EACH_ZONE = 3
LIMIT_PER_S = 10
# News 9.
CONTACT_S = 3.0     # bounds.contact_ms
WINDOW_S = 4.0
ALLOWED = LIMIT_PER_S * WINDOW_S * 1.5 + 5
ADDED_S = 4.0       # from the start of the added machines to the trouble
AWAY_S = 0.3
CALM_S = 6.0        # from the return of the store to the first limit
WARM_PER_S, WARM_S = 40, 1.0
LOAD_PER_S, LOAD_S = 330, 12.0

record = fleet.Record(HERE)
note = record.note
sent = [0]
statuses = {}


async def configure(store):
    await store.put("op", "config", {
        "version": 7,
        "routes": [{"name": "r1", "hostname": HOST, "path_prefix": "/book/",
                    "kind": "idempotent", "timeout_ms": 1000,
                    "target_latency_ms": 120, "priority": 2,
                    "backend": SERVICE, "max_attempts": 2, "public": True,
                    "sticky": False, "resumable": False}],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_conns": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
        "tenants": []})


async def request(daemon):
    sent[0] += 1
    try:
        status, _ = await fleet.get(
            daemon.front, PATH, [("Host", HOST),
                                 ("X-Request-Id", "%016x" % sent[0]),
                                 ("X-Deadline-Ms", "1000")], 1.0)
    except OSError:
        status = 0
    counts = statuses.setdefault(daemon.name, {})
    counts[status] = counts.get(status, 0) + 1


async def load(daemons, per_s, for_s):
    statuses.clear()
    began = time.monotonic()
    requests = []
    while time.monotonic() - began < for_s:
        requests.append(asyncio.ensure_future(
            request(daemons[len(requests) % len(daemons)])))
        due = began + len(requests) / per_s
        await asyncio.sleep(max(0, due - time.monotonic()))
    await asyncio.gather(*requests)
    for name, counts in statuses.items():
        note("answers of %s: %s", name, counts)


async def note_views(daemons):
    """How many addresses the directory of each machine names."""
    for daemon in daemons:
        _, body = await fleet.get(
            daemon.directory, "/-/resolve?name=%s&region=jm-central&zone=%s"
            % (HOST, daemon.zone))
        note("the directory of %s names %d addresses", daemon.name,
             body.count(b"127.0.0.1:"))


def most_in_window(server, since):
    times = [at for at, _, _ in server.ran if at >= since]
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


async def play(store, daemons):
    servers = []
    for i, zone in enumerate(fleet.ZONES * SERVERS_EACH_ZONE):
        server = fleet.DeskServer(store, SERVICE, zone, "i-%d" % i)
        asyncio.ensure_future((await server.listen()).live())
        servers.append(server)
    await configure(store)
    n = len(fleet.MACHINES)
    first, added = daemons[:n], daemons[n:]
    for daemon in first:
        await daemon.start()
    if not await fleet.wait_until_ready(first):
        note("not all machines got ready")
        return fleet.COULD_NOT_RUN
    await asyncio.sleep(fleet.LEAD_S)
    store.copy()
    copied = time.monotonic()
    note("a copy of the store is made")
    for daemon in added:
        await daemon.start()
    if not await fleet.wait_until_ready(added):
        note("not all machines got ready")
        return fleet.COULD_NOT_RUN
    note("%d machines are added", len(added))
    await asyncio.sleep(ADDED_S)
    if TROUBLE:
        store.away = True
        note("the store is away")
        await asyncio.sleep(AWAY_S)
        await store.restore()
        note("the store is back from a copy %.1f s old",
             time.monotonic() - copied)
    await asyncio.sleep(CALM_S)
    await note_views(daemons)
    await load(daemons, WARM_PER_S, WARM_S)
    for server in servers:
        server.more = [("Server-Limit", "%d" % LIMIT_PER_S)]
    named = time.monotonic()
    note("each server names a limit of %d requests a second", LIMIT_PER_S)
    await load(daemons, LOAD_PER_S, LOAD_S)
    over = 0
    for server in servers:
        for at, _, number in server.ran:
            note("ran at %.3f: %s at %s", at - record.began, number,
                 server.id)
    for server in servers:
        most = most_in_window(server, named + CONTACT_S)
        note("%s got %d requests in %.0f s; allowed: %.0f", server.id, most,
             WINDOW_S, ALLOWED)
        over += most > ALLOWED
    return fleet.BROKEN if over else fleet.HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(play, record,
                                        fleet.make_larger_fleet)))
