"""A request that crashes each server that runs it comes again and again.  In
the middle, all machines of the system are killed at the same moment."""

import asyncio
import os
import shutil
import sys
import time
import pathlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]
                       / "standins"))
from kwf import (Daemon, Server, Store, answer, call, read_body,
                 temporary_directory)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = os.environ.get("RECORD") or (
    pathlib.Path(__file__).resolve().parent / "record.txt")
N_DAEMONS, N_SERVERS = 3, 10
CONTACT_S = 3.0
PERIOD_S = 4.0     # between two arrivals of the request
N_TIMES = 13
KILL_AFTER = 5     # arrivals
BACK_S = 3.0       # a crashed server is back after this time
ALLOWED = 3        # retries later than CONTACT_S after the third crash

begin = time.monotonic()
record = open(RECORD, "w")
crashes = []       # (time, server)
arrivals = []      # (time, server, id)
sound = {"sent": 0, "200": 0}


def note(text):
    line = f"{time.monotonic() - begin:8.3f} {text}"
    print(line, file=record, flush=True)


async def restart(server):
    await asyncio.sleep(BACK_S)
    await server.start()
    server.register()
    note(f"server {server.name} is back")


async def serve(server, request):
    request.body = await read_body(request.reader, request.headers)
    if request.target.startswith("/-/"):
        await answer(request, 404, b"")
        return True
    if request.body == b"bad":
        now = time.monotonic() - begin
        arrivals.append((now, server.name, request.id))
        crashes.append((now, server.name))
        note(f"server {server.name} begins to run {request.id} and crashes, "
             f"crash {len(crashes)}")
        await server.crash()
        asyncio.get_running_loop().create_task(restart(server))
        return False
    await asyncio.sleep(0.3)
    await answer(request, 200, b"ok")
    return True


async def one_sound(daemon, n):
    sound["sent"] += 1
    try:
        status, _, _, _ = await call(
            daemon.ports["front"], "POST", f"/n/{n}",
            [("X-Request-Id", f"s{n}"), ("X-Deadline-Ms", "2000"),
             ("X-Api-Key", "k1")], b"fine", limit=3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = 0
    if status == 502:
        note(f"sound request s{n}: 502")
    sound[str(status)] = sound.get(str(status), 0) + 1


async def send_sound(daemons):
    n = 0
    while True:
        n += 1
        asyncio.ensure_future(one_sound(daemons[n % len(daemons)], n))
        await asyncio.sleep(0.05)


async def kill_all(daemons):
    note("SIGKILL of all machines")
    await asyncio.gather(*(d.kill() for d in daemons))
    await asyncio.sleep(1.0)
    for daemon in daemons:
        await daemon.start()
    note("all machines are started again")
    for daemon in daemons:
        if not await daemon.ready():
            return False
    note("all machines are ready")
    return True


async def run(directory):
    store = Store()
    await store.start()
    servers = [Server(store, f"d{i}", "desk", serve) for i in range(N_SERVERS)]
    for server in servers:
        await server.start()
        server.register()
    store.put("op", "config", {
        "version": 1,
        "services": [{"name": "desk", "health_path": "/health"}],
        "routes": [{"name": "n", "hostname": "h.example",
                    "path_prefix": "/n/", "backend": "desk",
                    "kind": "non_idempotent", "max_attempts": 1,
                    "timeout_ms": 2500, "target_latency_ms": 150}],
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
        for i in range(N_TIMES):
            daemon = daemons[i % N_DAEMONS]
            try:
                status, _, _, whole = await call(
                    daemon.ports["front"], "POST", "/n/same",
                    [("X-Request-Id", f"bad{i}"), ("X-Deadline-Ms", "2000"),
                     ("X-Api-Key", "k1")], b"bad", limit=3)
                note(f"bad{i} by {daemon.name}: status {status}")
            except (OSError, asyncio.TimeoutError) as error:
                note(f"bad{i} by {daemon.name}: {error!r}")
            if TROUBLE and i + 1 == KILL_AFTER:
                if not await kill_all(daemons):
                    note("the machines did not come back")
                    return 2
                # Machines are in touch CONTACT_S after their start.
                await asyncio.sleep(CONTACT_S + 0.5)
            await asyncio.sleep(PERIOD_S)
        task.cancel()
        return judge()
    finally:
        for daemon in daemons:
            await daemon.kill()


def judge():
    note(f"sound requests: {sound}")
    if len(crashes) < 3 or sound.get("200", 0) < sound["sent"] / 2:
        note("the case did not run as meant")
        return 2
    third = crashes[2][0]
    late = [a for a in arrivals if a[0] > third + CONTACT_S]
    note(f"{len(late)} retries reached servers later than {CONTACT_S} s after "
         f"the third crash; {ALLOWED} are allowed")
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
