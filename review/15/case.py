"""After the store came back from a copy, processes that start again hand out
tokens that were spent before.  See claim.txt."""

import asyncio
import base64
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, HOST, PATH = "booking", "kitchen.example", "/book/x"
KEY, TENANT = "i9n73hh2b9wu3fexd9dn", "hule930"
# The smallest tenant of crtg-kitchen (floor_per_s).
RATE, BURST = 2700, 2700
PLAIN_TOKENS = 200
# bounds.quota_window_s, quota_over and quota_slack.
WINDOW_S, OVER, SLACK = 8.0, 0.1, 11000
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
# hot_tenant of crtg-kitchen: 7.5 times its usual, which is RATE / 1.8.
USUAL_PER_S = RATE / 1.8 / PLAIN_TOKENS
HOT_PER_S = 7.5 * USUAL_PER_S
CALM_S = 12.0       # without requests, before the copy is made
BEFORE_S = 2.0      # of the hot tenant before the store is away
AWAY_S = 0.3
KILL_S = 0.3        # from the return of the store to the kill
RESTART_S = 0.5
# Ends of the hot tenant's requests and of its usual ones, from the beginning.
HOT_S = 6.5
USUAL_S = 8.0

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
                    "backend": SERVICE, "max_attempts": 2, "public": False,
                    "sticky": False, "resumable": False}],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_conns": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1,
                     "unit": "tokens", "plain_tokens": PLAIN_TOKENS,
                     "rate_per_s": RATE, "burst": BURST}]})


async def request(daemon):
    sent[0] += 1
    try:
        status, _ = await fleet.get(
            daemon.front, PATH,
            [("Host", HOST), ("X-Request-Id", "%016x" % sent[0]),
             ("X-Deadline-Ms", "1000"), ("X-Api-Key", KEY)], 1.0)
    except OSError:
        status = 0
    statuses[status] = statuses.get(status, 0) + 1


async def load(daemons, per_s, for_s):
    """Requests of the tenant, at all machines."""
    statuses.clear()
    began = time.monotonic()
    requests = []
    while time.monotonic() - began < for_s:
        requests.append(asyncio.ensure_future(
            request(daemons[len(requests) % len(daemons)])))
        due = began + len(requests) / per_s
        await asyncio.sleep(max(0, due - time.monotonic()))
    await asyncio.gather(*requests)
    note("sent %d requests of %s in %.1f s; statuses %s", len(requests),
         TENANT, for_s, statuses)


def note_saved(store):
    for (table, _, key), row in sorted(store.rows.items()):
        if "shares-saved/" in key:
            note("row %s: %s", key, base64.b64decode(row[0]).decode())


async def trouble(store, daemons):
    store.away = True
    note("the store is away")
    await asyncio.sleep(AWAY_S)
    await store.restore()
    note("the store is back from its copy")
    await asyncio.sleep(KILL_S)
    note_saved(store)
    for daemon in daemons:
        await daemon.stop()
    note("all processes are killed")
    await asyncio.sleep(RESTART_S)
    for daemon in daemons:
        await daemon.start()
    await fleet.wait_until_ready(daemons)
    note("all are ready again")


def most_in_window(servers):
    """Most tokens of requests that ran in a window."""
    times = sorted(at for server in servers for at, tenant, _ in server.ran
                   if tenant == TENANT)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most * PLAIN_TOKENS


async def play(store, daemons):
    servers = []
    for i, zone in enumerate(fleet.ZONES):
        server = fleet.DeskServer(store, SERVICE, zone, "i-%d" % i)
        asyncio.ensure_future((await server.listen()).live())
        servers.append(server)
    await configure(store)
    for daemon in daemons:
        await daemon.start()
    if not await fleet.wait_until_ready(daemons):
        note("not all machines got ready")
        return fleet.COULD_NOT_RUN
    await asyncio.sleep(fleet.LEAD_S + CALM_S)
    store.copy()
    copied = time.monotonic()
    note("a copy of the store is made")
    await load(daemons, HOT_PER_S, BEFORE_S)
    if TROUBLE:
        await trouble(store, daemons)
        note("the copy was %.1f s old", time.monotonic() - copied)
    await load(daemons, HOT_PER_S, copied + HOT_S - time.monotonic())
    await load(daemons, USUAL_PER_S, copied + USUAL_S - time.monotonic())
    for server in servers:
        for at, tenant, number in server.ran:
            note("ran at %.3f for %s: %s at %s", at - record.began, tenant,
                 number, server.id)
    most = most_in_window(servers)
    note("most tokens in %.0f s: %d; allowed: %d", WINDOW_S, most, BOUND)
    if not most:
        return fleet.COULD_NOT_RUN
    return fleet.BROKEN if most > BOUND else fleet.HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(play, record, fleet.make_fleet)))
