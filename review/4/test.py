"""A replica spoils the head of one answer in fifty; see claim.txt."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import TROUBLE, Deployment, loopback
from site_documents import KEY, config, plain_service, registration, route
from store import Store
from wire import Server, attempt_id, call, respond

REPLICAS = 3
CALLERS = 12
# One replica of three spoils 0.02 of its answers.
SPOILT_EACH = 50
RUN_S = 25.0


def main():
    store = Store(loopback())
    d = Deployment(HERE, store.address)
    lock = threading.Lock()
    ended = threading.Event()
    counts = {"answers": 0, "spoilt": 0, "clients": 0, "200": 0}
    unsealed = []

    def answer(faulty):
        def handle(sock, _reader, head, _body):
            attempt = head.headers["x-attempt-id"]
            time.sleep(0.015)
            seal = "X-Response-Seal"
            with lock:
                counts["answers"] += 1
                if faulty:
                    faulty[0] += 1
                    if faulty[0] % SPOILT_EACH == 0:
                        # One wrong byte.
                        seal = "X-Response-Seam"
                        counts["spoilt"] += 1
                        d.note("the answer to %s is spoilt" % attempt)
            return respond(sock, 200, {"X-Attempt-Id": attempt,
                                       seal: "3e1b." + attempt}, b"x" * 800)
        return handle

    servers = [Server(answer([0] if TROUBLE and i == 0 else None))
               for i in range(REPLICAS)]
    born = int(time.time() * 1000)
    store.put("op/config", config(7, [
        route("r-sign", "voka93.example", "/filo73/", "non_idempotent",
              "wuno96b", 800, 1),
        route("r-check", "hulo84.example", "/boye614/", "idempotent",
              "wuno96b", 800, 2),
    ], [plain_service("wuno96b")]))

    def register():
        sequence = 0
        while not ended.is_set():
            sequence += 1
            for index, server in enumerate(servers):
                store.put("servers/i-ledger%d" % index, registration(
                    "wuno96b", server.address, born, sequence, 6))
            time.sleep(1.2)

    threading.Thread(target=register, daemon=True).start()
    ip = loopback()
    d.start_gateway(ip)

    def caller(index):
        while not ended.is_set():
            attempt = attempt_id()
            method, path, host, body = (
                ("POST", "/filo73/sign", "voka93.example", b"signature"),
                ("GET", "/boye614/guest", "hulo84.example", b""))[index % 2]
            index += 1
            try:
                head, _ = call(ip + ":8005", method, path, host,
                               {"X-Attempt-Id": attempt,
                                "X-Deadline-Ms": "1500",
                                "Authorization": "Bearer " + KEY}, body, 3)
            except (OSError, EOFError, ValueError):
                continue
            with lock:
                counts["clients"] += 1
                if head.status() == 200:
                    counts["200"] += 1
                    if "x-response-seal" not in head.headers:
                        unsealed.append(attempt)
                        d.note("%s %s: the client gets 200 without "
                               "X-Response-Seal" % (method, attempt))
            time.sleep(0.1)

    try:
        time.sleep(3)
        for index in range(CALLERS):
            threading.Thread(target=caller, args=(index,), daemon=True).start()
        time.sleep(RUN_S)
        d.note("%d answers of replicas, %d of them spoilt; %d answers to "
               "clients, %d of them 200, %d of these without the seal" %
               (counts["answers"], counts["spoilt"], counts["clients"],
                counts["200"], len(unsealed)))
        if counts["200"] == 0:
            return 2
    finally:
        ended.set()
        d.end()
    print("MIXED is broken" if unsealed else "MIXED held")
    return 1 if unsealed else 0


sys.exit(main())
