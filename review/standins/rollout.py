"""A version is named, all processes are killed and start again: how many
requests are served once the machines are back."""

import signal
import threading
import time

from deployment import Deployment, loopback
from model_replica import Origin, Replica
from site_documents import (KEY, MODEL, config, engine_service, origin_service,
                            route)
from store import Store
from wire import attempt_id, call

REPLICAS = 3
RECOVER_S = 12
BEFORE_S = 8
AFTER_S = 25


def play(folder, disturb):
    """Plays the day; `disturb(origin)` runs before the version is named.
    Returns the exit code."""
    store = Store(loopback())
    d = Deployment(folder, store.address)
    origin = Origin(d.note)
    store.put("op/config", config(7, [
        route("r-stream", "jepu9.example", "/lepu270/", "stream", "huvo11a",
              6000, 2, sticky=True, can_resume=True, gap_aim_ms=400),
    ], [engine_service("huvo11a"), origin_service("kafi81c", origin.address)]))
    gateway_ip = loopback()
    sides = [loopback() for _ in range(REPLICAS)]
    replicas = [Replica("i-model%d" % i, store, "huvo11a", d.note, ip,
                        origin.weights)
                for i, ip in enumerate(sides)]

    def start_all():
        d.start_gateway(gateway_ip)
        for i, ip in enumerate(sides):
            d.start_stager(ip, replicas[i].address, "huvo11a", "side-%d" % i)

    outcomes = []
    ended = threading.Event()

    def client():
        while not ended.is_set():
            sent = time.monotonic()
            attempt = attempt_id()
            try:
                head, _ = call(
                    gateway_ip + ":8005", "POST", "/lepu270/2f", "jepu9.example",
                    {"X-Attempt-Id": attempt, "X-Deadline-Ms": "6000",
                     "X-Model": MODEL, "X-Token-Counts": "460,80",
                     "X-Prompt-Prefix": "5c1e07a2:400,%s:60" % attempt[:8],
                     "Authorization": "Bearer " + KEY}, b"prompt", 7)
                outcome = head.status()
            except (OSError, EOFError):
                outcome = 0
            outcomes.append((sent, outcome))
            time.sleep(0.25)

    def served(begin, end):
        sent = [o for t, o in list(outcomes) if begin <= t < end]
        good = sum(1 for o in sent if o == 200)
        return good, len(sent)

    broken = False
    try:
        start_all()
        time.sleep(3)
        for _ in range(4):
            threading.Thread(target=client, daemon=True).start()
        began = time.monotonic()
        time.sleep(BEFORE_S)
        before = served(began, time.monotonic())
        d.note("before the final fault %d of %d requests are served" % before)
        if before[0] * 4 < before[1] or before[1] == 0:
            return 2
        disturb(origin)
        origin.newest = 2
        store.put("op/version/" + MODEL, {"model": MODEL, "version": 2})
        d.note("version 2 is named and acknowledged; all processes are killed")
        for process in d.processes:
            process.send_signal(signal.SIGKILL)
        for process in d.processes:
            process.wait()
        time.sleep(1.3)
        start_all()
        back = time.monotonic()
        time.sleep(RECOVER_S + AFTER_S)
        after = served(back + RECOVER_S, time.monotonic() - 6)
        d.note("of the requests sent later than %d s after the machines are "
               "back, %d of %d are served" % ((RECOVER_S,) + after))
        counts = {}
        for t, outcome in outcomes:
            if t > back + RECOVER_S:
                counts[outcome] = counts.get(outcome, 0) + 1
        d.note("their statuses: %s" % counts)
        d.note("versions of the replicas: %s; the origin sent %d answers, %d of "
               "them manifests" % ([r.version for r in replicas], origin.answers,
                                   origin.manifests))
        for i in range(REPLICAS):
            for event in ("weights_wanted", "chunk_bad", "weights_staged",
                          "weights_loaded"):
                count = d.log_of("side-%d" % i).count('"%s"' % event)
                d.note("side-%d has logged %s %d times" % (i, event, count))
        broken = after[0] * 4 < after[1]
    finally:
        ended.set()
        for replica in replicas:
            replica.ended = True
        d.end()
    print("RECOVER is broken" if broken else "RECOVER held")
    return 1 if broken else 0

