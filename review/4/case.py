"""Requests with one part of their prompts crash each engine that begins to
answer them.  Meanwhile all machines of the system are restarted in turn
(SIGTERM, then a new start), twice."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]
                       / "standins"))
from kwf import (Daemon, Server, Store, answer, call, header, read_body,
                 temporary_directory)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = os.environ.get("RECORD") or (
    pathlib.Path(__file__).resolve().parent / "record.txt")
N_DAEMONS, N_SERVERS = 3, 10
CONTACT_S = 3.0
PERIOD_S = 3.5     # between two requests with the part
N_TIMES = 12
RESTART_AFTER = (3, 6)  # requests
BACK_S = 3.0       # a crashed engine is back after this time
ALLOWED = 3        # requests later than CONTACT_S after the fifth crash
BAD = "bad0bad0"
MODELS = {"models": [{"name": "m1", "version": 1, "adapters": []}],
          "stage": "colocated"}

begin = time.monotonic()
record = open(RECORD, "w")
crashes = []       # time
arrivals = []      # (time, server, id)
calm_from = {}     # name of a machine: since when it runs undisturbed
sound = {"sent": 0, "200": 0}


def now_s():
    return time.monotonic() - begin


def note(text):
    print(f"{now_s():8.3f} {text}", file=record, flush=True)


async def restart_engine(server):
    await asyncio.sleep(BACK_S)
    await server.start()
    server.register()
    note(f"engine {server.name} is back")


async def serve(server, request):
    request.body = await read_body(request.reader, request.headers)
    if request.target == "/-/report":
        await answer(request, 200, json.dumps({
            **MODELS, "busy": False, "seq": 0, "queued": 0, "running": 0,
            "kv_used": 0, "kv_total": 100000, "handles": 0,
            "born": server.born}).encode(), stamp=False)
        return True
    if request.target.startswith("/-/"):
        await answer(request, 409, b"", stamp=False)
        return True
    if BAD in (header(request.headers, "X-Prompt-Prefix") or ""):
        crashes.append(now_s())
        arrivals.append((now_s(), server.name, request.id))
        note(f"engine {server.name} begins to answer {request.id} and "
             f"crashes, crash {len(crashes)}")
        await server.crash()
        asyncio.get_running_loop().create_task(restart_engine(server))
        return False
    await asyncio.sleep(0.3)
    body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    await answer(request, 200, body, ("Content-Type", "text/event-stream"))
    return True


def headers_of(name, parts):
    return [("X-Request-Id", name), ("X-Deadline-Ms", "4000"),
            ("X-Api-Key", "k1"), ("X-Model", "m1"),
            ("X-Token-Counts", "700,50"), ("X-Prompt-Prefix", parts)]


async def send(daemon, name, parts):
    try:
        status, _, _, _ = await call(daemon.ports["front"], "POST",
                                     f"/s/{name}", headers_of(name, parts),
                                     b"prompt", limit=5)
        return status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0


async def one_sound(daemon, n):
    sound["sent"] += 1
    status = await send(daemon, f"s{n}", f"aa11aa11:350,{n:08x}:350")
    if status == 502:
        note(f"sound request s{n}: 502")
    sound[str(status)] = sound.get(str(status), 0) + 1


async def send_sound(daemons):
    n = 0
    while True:
        n += 1
        asyncio.ensure_future(one_sound(daemons[n % len(daemons)], n))
        await asyncio.sleep(0.05)


async def restart_all(daemons):
    for daemon in daemons:
        note(f"SIGTERM of {daemon.name}")
        daemon.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(daemon.process.wait(), 8)
        except asyncio.TimeoutError:
            await daemon.kill()
        await daemon.start()
        if not await daemon.ready():
            return False
        note(f"{daemon.name} is ready again")
    return True


async def send_all(daemons):
    for i in range(N_TIMES):
        daemon = daemons[i % N_DAEMONS]
        status = await send(daemon, f"bad{i}",
                            f"aa11aa11:350,{BAD}:210,{i + 0x7000:08x}:140")
        note(f"bad{i} by {daemon.name}: status {status}")
        await asyncio.sleep(PERIOD_S)
        if TROUBLE and i + 1 in RESTART_AFTER:
            if not await restart_all(daemons):
                return False
            # All machines are in touch again.
            await asyncio.sleep(CONTACT_S + 0.5)
    return True


async def run(directory):
    store = Store()
    await store.start()
    servers = [Server(store, f"e{i}", "llm", serve, extra=MODELS)
               for i in range(N_SERVERS)]
    for server in servers:
        await server.start()
        server.register()
    store.put("op", "config", {
        "version": 1,
        "services": [{"name": "llm", "health_path": "/health", "engine": {
            "slots": 64, "kv_capacity": 100000, "weights_mb": 200000,
            "adapter_slots": 8, "loads_per_s": 2.2, "models": [
                {"name": "m1", "weights_mb": 34300, "load_s": 4,
                 "adapters": 0, "adapter_mb": 40}]}}],
        "routes": [{"name": "s", "hostname": "h.example",
                    "path_prefix": "/s/", "backend": "llm", "kind": "stream",
                    "max_attempts": 1, "timeout_ms": 4000, "sticky": True,
                    "resumable": False, "target_latency_ms": 800,
                    "gap_aim_ms": 250}],
        "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1}]})
    daemons = [Daemon(store, f"i{i}", directory) for i in range(N_DAEMONS)]
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            if not await daemon.ready():
                note(f"{daemon.name} is not ready")
                return 2
        await asyncio.sleep(CONTACT_S + 1)
        task = asyncio.get_running_loop().create_task(send_sound(daemons))
        good = await send_all(daemons)
        task.cancel()
        return judge() if good else 2
    finally:
        for daemon in daemons:
            await daemon.kill()


def judge():
    note(f"sound requests: {sound}")
    if len(crashes) < 4 or sound.get("200", 0) < sound["sent"] / 2:
        note("the case did not run as meant")
        return 2
    late = [a for a in arrivals if len(crashes) > 4
            and a[0] > crashes[4] + CONTACT_S]
    note(f"{len(late)} requests with the part reached engines later than "
         f"{CONTACT_S} s after the fifth crash; {ALLOWED} are allowed")
    return 1 if len(late) > ALLOWED else 0


def main():
    directory = temporary_directory()
    status = 2
    try:
        status = asyncio.run(run(directory))
    except Exception as error:  # not a verdict
        note(repr(error))
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    note({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)


main()
