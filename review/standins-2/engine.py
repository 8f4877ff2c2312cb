"""A model replica: a process that answers as PROTOCOL.md and the news say.

Its argument is a JSON object: id, address, born, runs (the file to which it
writes each request that it begins to run), model (what it holds at its start;
empty for none), read_ms (time to its first event), events and event_ms, load_s,
and bad_part: the id of the part of a prompt on which it crashes as it begins to
write an answer (news, 10; "" for none).  A crash is the end of its process.
"""

import json
import os
import socket
import sys
import threading
import time

options = json.loads(sys.argv[1])
lock = threading.Lock()
runs = open(options["runs"], "a")
state = {"models": [options["model"]] if options["model"] else [], "seq": 0,
         "busy": False, "fence": 0, "running": 0}


def write_run(request_id, text):
    with lock:
        runs.write("%.3f %s %s\n" % (time.monotonic(), request_id, text))
        runs.flush()


def head(status, headers):
    lines = ["HTTP/1.1 " + status] + ["%s: %s" % h for h in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def plain(connection, status, headers, body=b""):
    headers = dict(headers, **{"Content-Length": len(body)})
    connection.sendall(head(status, headers) + body)


def serve(connection):
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                return
            data += more
        raw, data = data.split(b"\r\n\r\n", 1)
        lines = raw.decode("latin-1").split("\r\n")
        method, path = lines[0].split()[:2]
        headers = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:]}
        size = int(headers.get("content-length", 0))
        while len(data) < size:
            more = connection.recv(65536)
            if not more:
                return
            data += more
        body, data = data[:size], data[size:]
        answer(connection, method, path, headers, body)


def finish_order(operation, model):
    time.sleep(options["load_s"] if operation == "load" else 0.05)
    with lock:
        if operation == "load":
            state["models"].append(model)
        elif model in state["models"]:
            state["models"].remove(model)
        state["busy"] = False


def take_order(order):
    """The status for an order."""
    with lock:
        model, operation = order["model"], order["operation"]
        if order["fencing_token"] < state["fence"]:
            return "412 Precondition Failed"
        state["fence"] = order["fencing_token"]
        if state["busy"] or order.get("expected", state["seq"]) != state["seq"]:
            return "409 Conflict"
        if (model in state["models"]) == (operation == "load"):
            return "200 OK"
        state["seq"] += 1
        state["busy"] = True
    threading.Thread(target=finish_order, args=(operation, model), daemon=True).start()
    return "202 Accepted"


def answer(connection, method, path, headers, body):
    common = {"X-Instance-Id": options["id"],
              "X-Server-Load": "%d,0,64" % state["running"]}
    if headers.get("x-expect-instance", options["id"]) != options["id"]:
        plain(connection, "421 Misdirected Request", common)
        return
    if path == "/-/report":
        with lock:
            models = [{"name": m, "version": 1, "adapters": []} for m in state["models"]]
            report = {"stage": "colocated", "models": models, "busy": state["busy"],
                      "seq": state["seq"], "queued": 0, "running": state["running"],
                      "kv_used": 0, "kv_total": 140481, "handles": 0,
                      "born": options["born"]}
        plain(connection, "200 OK", dict(common, **{"Content-Type": "application/json"}),
              json.dumps(report).encode())
        return
    if path == "/-/order":
        plain(connection, take_order(json.loads(body)), common)
        return
    if path == "/health":
        plain(connection, "200 OK", common)
        return
    request_id = headers.get("x-request-id", "")
    common["X-Request-Id"] = request_id
    with lock:
        resident = headers.get("x-model", "") in state["models"]
    if not resident:
        plain(connection, "421 Misdirected Request", common)
        return
    parts = [p.split(":")[0] for p in headers.get("x-prompt-prefix", "").split(",")[:-1]]
    state["running"] += 1
    time.sleep(options["read_ms"] / 1e3)
    if options["bad_part"] and options["bad_part"] in parts:
        write_run(request_id, "crash")
        os._exit(1)
    write_run(request_id, "run")
    common.update({"X-Server-Stamp": "s-" + request_id, "Content-Type": "text/event-stream",
                   "X-Weight-Versions": "1", "Transfer-Encoding": "chunked"})
    connection.sendall(head("200 OK", common))
    for i in range(int(headers.get("last-event-id", "-1")) + 1, options["events"]):
        event = b"id: %d\ndata: words of %s\n\n" % (i, request_id.encode())
        connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
        time.sleep(options["event_ms"] / 1e3)
    connection.sendall(b"0\r\n\r\n")
    state["running"] -= 1


def run(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        serve(connection)
    except OSError:
        pass
    connection.close()


ip, port = options["address"].rsplit(":", 1)
listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind((ip, int(port)))
listener.listen(128)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=run, args=(accepted,), daemon=True).start()
