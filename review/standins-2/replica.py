"""A plain replica: a process that answers as PROTOCOL.md says.

Its argument is a JSON object: id, address, runs (the file to which it writes
each request that it begins to run, with the whole body that it makes),
and optionally
  limit     the Server-Limit that its answers name (news, 9)
  framing   "length" or "close": how the end of an answer is marked (news, 13)
  work_ms   time between the two halves of an answer
"""

import hashlib
import json
import socket
import sys
import threading
import time

options = json.loads(sys.argv[1])
born = options["born"]  # as in its entry in the store
lock = threading.Lock()
runs = open(options["runs"], "a")


def body_of(request_id):
    """The whole body: 800 bytes that depend on the request."""
    text = ""
    while len(text) < 800:
        text += hashlib.sha256((request_id + str(len(text))).encode()).hexdigest()
    return text[:800].encode()


def write_run(request_id, text):
    with lock:
        runs.write("%s %s\n" % (request_id, text))
        runs.flush()


def head(status, headers):
    lines = ["HTTP/1.1 " + status] + ["%s: %s" % h for h in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


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
        path = lines[0].split()[1]
        headers = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:]}
        size = int(headers.get("content-length", 0))
        while len(data) < size:
            more = connection.recv(65536)
            if not more:
                return
            data += more
        data = data[size:]
        if not answer(connection, path, headers):
            return


def answer(connection, path, headers):
    """Answers one request; false: the connection has to be closed."""
    common = {"X-Instance-Id": options["id"]}
    if "limit" in options:
        common["Server-Limit"] = str(options["limit"])
    wanted = headers.get("x-expect-instance", options["id"])
    if wanted != options["id"]:
        connection.sendall(head("421 Misdirected Request", dict(common, **{"Content-Length": 0})))
        return True
    if path == "/-/report":
        report = {"stage": "", "models": [], "busy": False, "seq": 0, "queued": 0,
                  "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0, "born": born}
        text = json.dumps(report).encode()
        common.update({"Content-Type": "application/json", "Content-Length": len(text)})
        connection.sendall(head("200 OK", common) + text)
        return True
    if path == "/health":
        connection.sendall(head("200 OK", dict(common, **{"Content-Length": 0})))
        return True
    request_id = headers.get("x-request-id", "")
    body = body_of(request_id)
    write_run(request_id, body.decode())
    common.update({"X-Request-Id": request_id, "X-Server-Stamp": "s-" + request_id,
                   "Content-Type": "text/plain"})
    closes = options.get("framing") == "close"
    if closes:
        common["Connection"] = "close"
    else:
        common["Content-Length"] = len(body)
    half = len(body) // 2
    connection.sendall(head("200 OK", common) + body[:half])
    time.sleep(options.get("work_ms", 30) / 1e3)
    connection.sendall(body[half:])
    return not closes


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
