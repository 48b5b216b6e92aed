"""A replica sends bytes that are no answer without end; see claim.txt."""

import os
import pathlib
import random
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import TROUBLE, Deployment, loopback, memory_mb
from site_documents import (KEY, config, engine_service, plain_service,
                            registration, route)
from store import Store
from wire import (Server, attempt_id, read_body, read_head, request_bytes,
                  respond)

MEMORY_MB = 260
STREAMS = int(os.environ.get("STREAMS", "1"))
# What a client's own link carries; a stream of the sheet has 2 KB in all.
CLIENT_BYTES_PER_S = int(os.environ.get("RATE", "1000000"))
CALLERS = 12
# Of a signature, within the largest work of the sheet.
WORK_S = (0.05, 0.11)
RUN_S = 25.0
# After which the platform starts a process again that has ended.
RESTART_S = 1.0


def main():
    store = Store(loopback())
    d = Deployment(HERE, store.address)
    lock = threading.Lock()
    passed_on = set()
    lost = []
    answered = [0]
    ended = threading.Event()
    noise = os.urandom(1 << 20)

    def ledger(sock, _reader, head, _body):
        attempt = head.headers["x-attempt-id"]
        with lock:
            passed_on.add(attempt)
        time.sleep(random.uniform(*WORK_S))
        return respond(sock, 200, {"X-Attempt-Id": attempt,
                                   "X-Response-Seal": "3e1b." + attempt},
                       b"signed")

    def model(sock, _reader, head, _body):
        attempt = head.headers["x-attempt-id"]
        sock.sendall(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "X-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.%s\r\n\r\n" %
                      (attempt, attempt)).encode())
        if not TROUBLE:
            for event in range(1, 22):
                sock.sendall(b"id: %d\ndata: %s\n\n" % (event, b"x" * 60))
                time.sleep(0.05)
            return False
        sent = 0
        try:
            while not ended.is_set():
                sock.sendall(noise)
                sent += len(noise)
        except OSError:
            pass
        d.note("the faulty replica's caller closed after %d MB" % (sent >> 20))
        return False

    def caller(gateway_ip):
        sock = None
        while not ended.is_set():
            try:
                if sock is None:
                    sock = socket.create_connection((gateway_ip, 8005), 1)
                    sock.settimeout(3)
                    reader = sock.makefile("rb")
                    used = 0
                attempt = attempt_id()
                sock.sendall(request_bytes(
                    "POST", "/filo73/sign", "voka93.example",
                    {"X-Attempt-Id": attempt, "X-Deadline-Ms": "1500",
                     "Authorization": "Bearer " + KEY}, b"signature"))
                head = read_head(reader)
                if head is None:
                    raise EOFError
                read_body(reader, head)
                used += 1
                if head.status() == 200:
                    with lock:
                        answered[0] += 1
            except (OSError, EOFError):
                with lock:
                    run = sock is not None and attempt in passed_on
                if run and used > 0 and not ended.is_set():
                    lost.append(attempt)
                    d.note("request %s was passed on; its kept connection "
                           "ended without an answer" % attempt)
                sock = None
                time.sleep(0.2)
            time.sleep(random.uniform(0, 0.02))

    def reader_of_stream(gateway_ip):
        while not ended.is_set():
            try:
                with socket.create_connection((gateway_ip, 8005), 1) as sock:
                    sock.settimeout(2)
                    attempt = attempt_id()
                    sock.sendall(request_bytes(
                        "POST", "/lepu270/2f", "jepu9.example",
                        {"X-Attempt-Id": attempt, "X-Deadline-Ms": "6000",
                         "X-Model": "daka510000", "X-Token-Counts": "1460,80",
                         "X-Prompt-Prefix": "5c1e07a2:1400,%s:60" % attempt[:8],
                         "Authorization": "Bearer " + KEY}, b"prompt"))
                    got = 0
                    end = time.monotonic() + 6
                    while time.monotonic() < end and not ended.is_set():
                        data = sock.recv(CLIENT_BYTES_PER_S // 20)
                        if not data:
                            break
                        got += len(data)
                        time.sleep(len(data) / CLIENT_BYTES_PER_S)
                    d.note("stream %s: %d bytes read" % (attempt, got))
            except OSError as error:
                d.note("stream: %s" % error)
            time.sleep(0.5)

    ledgers = [Server(ledger) for _ in range(3)]
    faulty = Server(model)
    born = int(time.time() * 1000)
    store.put("op/config", config(7, [
        route("r-sign", "voka93.example", "/filo73/", "non_idempotent",
              "wuno96b", 1500, 1),
        route("r-stream", "jepu9.example", "/lepu270/", "stream", "huvo11a",
              6000, 2, sticky=True, can_resume=True, gap_aim_ms=400),
    ], [engine_service("huvo11a"), plain_service("wuno96b")]))

    def register():
        sequence = 0
        while not ended.is_set():
            sequence += 1
            for index, server in enumerate(ledgers):
                store.put("servers/i-ledger%d" % index, registration(
                    "wuno96b", server.address, born, sequence, 6))
            store.put("servers/i-model0", registration(
                "huvo11a", faulty.address, born, sequence, 16, version=1))
            time.sleep(1.2)

    threading.Thread(target=register, daemon=True).start()
    ip = loopback()
    gateway = d.start_gateway(ip)
    broken = False
    try:
        time.sleep(2.5)
        for _ in range(CALLERS):
            threading.Thread(target=caller, args=(ip,), daemon=True).start()
        time.sleep(4)
        if answered[0] == 0:
            d.note("no request was answered before the disruption")
            return 2
        d.note("%d requests answered; memory of the gateway %.0f MB" %
               (answered[0], memory_mb(gateway.pid)))
        for _ in range(STREAMS):
            threading.Thread(target=reader_of_stream, args=(ip,),
                             daemon=True).start()
        most = 0.0
        kills = 0
        restart_at = 0.0
        end = time.monotonic() + RUN_S
        while time.monotonic() < end:
            now = time.monotonic()
            memory = memory_mb(gateway.pid)
            most = max(most, memory)
            if restart_at:
                if now >= restart_at:
                    restart_at = 0.0
                    gateway = d.start_gateway(ip)
            elif gateway.poll() is not None:
                d.note("the gateway ended by itself")
                kills += 1
                restart_at = now + RESTART_S
            elif memory > MEMORY_MB:
                # DEPLOY.md: a process that exceeds memory_mb is killed.
                gateway.kill()
                kills += 1
                restart_at = now + RESTART_S
                d.note("the gateway holds %.0f MB, its limit is %d MB: the "
                       "platform kills it" % (memory, MEMORY_MB))
            time.sleep(0.02)
        d.note("most memory %.0f MB, %d kills; %d requests answered; %d "
               "requests on kept connections passed on and closed without an "
               "answer" % (most, kills, answered[0], len(lost)))
        broken = len(lost) > 3
    finally:
        ended.set()
        d.end()
    print("LOST is broken" if broken else "LOST held")
    return 1 if broken else 0


sys.exit(main())
