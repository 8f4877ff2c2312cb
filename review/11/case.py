"""A machine that is cut off takes streams up at the wrong software version.
See claim.txt."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, MODEL, HOST, PATH = "drafting", "m0", "kitchen.example", "/draft/x"
# The last machine is cut off.
CUT_OFF = fleet.MACHINES[-1][0]
N_STREAMS = 12
CUT_S = 5.5         # node_cut of crtg-kitchen
# Times after the beginning of the cut.
NEW_SERVERS_S = 0.3
STREAMS_S = 2.0
EVENTS_BEFORE_BREAK = 3
# A stream waits this long before it is taken up again.
RETURN_S = 0.1
MORE_THAN = 2       # news 18

record = fleet.Record(HERE)
note = record.note
proxies = []


async def configure(store):
    await store.put("op", "config", {
        "version": 7,
        "routes": [{"name": "r1", "hostname": HOST, "path_prefix": "/draft/",
                    "kind": "stream", "timeout_ms": 15000,
                    "target_latency_ms": 800, "priority": 1,
                    "backend": SERVICE, "max_attempts": 2, "public": True,
                    "sticky": True, "resumable": True, "gap_aim_ms": 250}],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_conns": 370, "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kv_capacity": 140481,
                                 "kv_token_bytes": 327680,
                                 "link_mbps": 740000.0, "moves": False,
                                 "backups": False, "stride": 3, "cap": 12,
                                 "host_mb": 140000.0, "disk_mb": 400000.0,
                                 "pin_ms": 4000.0, "hold_ms": 2000.0,
                                 "handle_s": 5.0, "weights_mb": 200000.0,
                                 "adapter_slots": 8,
                                 "models": [{"name": MODEL,
                                             "weights_mb": 34300.0,
                                             "load_s": 4.0, "adapters": 0,
                                             "adapter_mb": 40.0,
                                             "warm_s": 0.42,
                                             "disk_s": 0.8}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
        "tenants": []})


def headers(request, more=()):
    return [("Host", HOST), ("X-Request-Id", request), ("X-Model", MODEL),
            ("X-Token-Counts", "300,120"),
            ("X-Prompt-Prefix", "a1:100,%s:200" % request[-6:]),
            ("X-Deadline-Ms", "15000")] + list(more)


def versions(events):
    return sorted({data.split(" ")[0] for _, data in events})


async def start_servers(store, version):
    servers = []
    for i, zone in enumerate(fleet.ZONES + fleet.ZONES[:2]):
        server = fleet.StreamServer(store, SERVICE, MODEL, version, zone,
                                    "i-%s-%d" % (version, i))
        await server.listen()
        asyncio.ensure_future(server.live())
        servers.append(server)
    return servers


async def one_stream(k, first, second, results):
    """A client's stream that breaks and is taken up at another machine."""
    request, again = "%010x" % (0xa000 + k), "%010x" % (0xb000 + k)
    one, two = {}, {}
    results.append((one, two))
    await fleet.take_stream(first.front, PATH, headers(request), one,
                            EVENTS_BEFORE_BREAK)
    note("sent %s to %s: %s, events %s of %s; connection broken", request,
         first.name, one["status"], [number for number, _ in one["events"]],
         versions(one["events"]))
    if one["status"] != 200 or not one["events"]:
        return
    await asyncio.sleep(RETURN_S)
    last = one["events"][-1][0]
    two["sent_s"] = time.monotonic()
    await fleet.take_stream(
        second.front, PATH,
        headers(again, [("Last-Event-Id", str(last)), ("Resumes", request)]),
        two)
    numbers = [number for number, _ in two["events"]]
    note("sent %s to %s, Last-Event-Id: %d, Resumes: %s: %s, events %s to %s "
         "of %s, complete %s %s", again, second.name, last, request,
         two["status"], numbers[:1], numbers[-1:], versions(two["events"]),
         two["complete"], two.get("error", ""))


async def play(store, daemons):
    cut_off = daemons[-1]
    old = await start_servers(store, "v1")
    await configure(store)
    for daemon in daemons:
        await daemon.start()
    if not await fleet.wait_until_ready(daemons):
        note("not all machines got ready")
        return fleet.COULD_NOT_RUN
    await asyncio.sleep(fleet.LEAD_S)
    calm = {}
    for k, daemon in enumerate(daemons):
        await fleet.take_stream(daemon.front, PATH,
                                headers("%010x" % (0x9000 + k)), calm, 2)
        note("calm: %s at %s", calm["status"], daemon.name)
        if calm["status"] != 200:
            return fleet.COULD_NOT_RUN

    # Clients keep an answer of the directory for three times its ttl_s.
    status, body = await fleet.get(
        daemons[0].directory, "/-/resolve?name=%s&region=jm-central&zone="
        "kingston-a" % HOST)
    note("the directory at %s: %s %s", daemons[0].name, status, body.decode())
    told = json.loads(body)
    if any(daemon.front not in told["addresses"] for daemon in daemons):
        return fleet.COULD_NOT_RUN
    keep_s = 3 * told["ttl_s"]
    start = time.monotonic()
    if TROUBLE:
        note("%s is cut off from the store and all other machines",
             cut_off.name)
        for proxy in proxies:
            proxy.cut()
    await asyncio.sleep(NEW_SERVERS_S)
    new = await start_servers(store, "v2")
    note("servers of version v2 are there")
    await asyncio.sleep(start + STREAMS_S - time.monotonic())
    note("%s is ready: %s", cut_off.name, await cut_off.is_ready())
    results = []
    await asyncio.gather(*[one_stream(k, daemons[k % (len(daemons) - 1)],
                                      cut_off, results)
                           for k in range(N_STREAMS)])
    taken_up_s = max(two.get("sent_s", 0) for _, two in results) - start
    note("last taken up %.2f s after the clients asked the directory; they "
         "may use its answer for %.1f s", taken_up_s, keep_s)
    if taken_up_s > keep_s:
        return fleet.COULD_NOT_RUN
    await asyncio.sleep(max(0, start + CUT_S - time.monotonic()))
    for proxy in proxies:
        proxy.heal()
    for server in old + new:
        for request, after in server.ran:
            note("ran at %s: %s after event %d", server.id, request, after)
    mixed = sum(len(versions(one["events"] + two.get("events", []))) > 1
                for one, two in results)
    begun = sum(bool(one["events"]) for one, _ in results)
    gone_on = sum(bool(two.get("events")) for _, two in results)
    note("%d streams, %d begun, %d gone on, %d with events of two versions",
         N_STREAMS, begun, gone_on, mixed)
    if begun < N_STREAMS:
        return fleet.COULD_NOT_RUN
    return fleet.BROKEN if mixed > MORE_THAN else fleet.HELD


async def prepare(folder, store):
    daemons = await fleet.make_fleet(folder, store)
    for daemon in daemons:
        if daemon.name == CUT_OFF:
            proxies.append(await fleet.Proxy(daemon.store).listen())
            daemon.store = proxies[-1].address
        # Links of the machine that is cut off, whoever opened them.
        cuts = None if daemon.name == CUT_OFF else CUT_OFF.encode()
        proxies.append(await fleet.Proxy(daemon.peers, cuts).listen())
        daemon.peers_told = proxies[-1].address
    return daemons


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(play, record, prepare)))
