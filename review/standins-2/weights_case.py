"""Weights that turned bad while they were checked, and the restart of a process.

Starts the project's gateway and stager beside stand-ins for the platform's
store, the origin of weights and one model replica that reads slowly. A staged
piece turns bad after the stager has read it, so that the replica loads it; then
the stager is stopped and started again, or the gateway is killed and started
again, as the argument says. Exits with 1 if the replica answers requests with
the bad layer, 0 if it does not and 2 if the case could not run. With TROUBLE=0
in the environment no piece turns bad and nothing is restarted; with TROUBLE=rot
a piece turns bad, without a restart; with TROUBLE=restart the process is
restarted, without a bad piece.

usage: weights_case.py RECORD FOLDER stager|gateway
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import sys
import time
import urllib.parse

HELD, BROKEN, NOT_CHECKED = 0, 1, 2
MODEL = "m0"
CHUNKS, CHUNK_BYTES, LAYERS = 96, 24576, 16
# Time until the replica has read a staged piece.
READ_S = 0.5
# `warm_s` of the configuration.
LOAD_S = 0.3
# From the time at which the stager has read the first piece until it turns bad.
ROT_AFTER_S = 1.0
# A piece that turned bad more recently than this does not count (WHOLE).
EXCUSED_S = 3.0
# From the acceptance of the order to the end of the process: planned for a
# stager, a kill for a gateway, by which time the replica has written its entry.
END_AFTER_S = {"stager": 1.0, "gateway": 2.0}
END_SIGNAL = {"stager": signal.SIGTERM, "gateway": signal.SIGKILL}
# `grace_s` of the settings.
GRACE_S = 8.0
# The platform starts a process that has ended again after a short delay.
RESTART_AFTER_S = 0.5
SETTLE_S = 5.0
TIMEOUT_S = 60.0
WATCHED_S = 6.0
EVENTS = 3


def now():
    return time.monotonic()


def chunk(version, number):
    block = hashlib.sha256(f"{version}/{number}".encode()).digest()
    return block * (CHUNK_BYTES // len(block))


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.lower(), value.strip())
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    return method, parts.path, query, headers, body


def response(status, body=b"", headers=""):
    return (
        f"HTTP/1.1 {status} Status\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Server:
    """Serves each request with `self.answer`, which returns the bytes to send."""

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            while True:
                writer.write(await self.answer(*await read_request(reader)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: always up, answers at once, its leases last."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 10
        self.leases, self.last_lease = set(), 100
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a JSON value, or a text that is base64 already."""
        if not isinstance(value, str):
            value = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created_at": self.revision,
            "lease": lease,
        }
        self.note(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, path, query, headers, body):
        status, value = await self.call(path, query, body)
        return response(
            status,
            json.dumps(value).encode(),
            "Content-Type: application/json\r\nStore-Era: 1\r\n",
        )

    async def call(self, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            items = [self.items[key] for key in keys]
            return 200, {"items": items, "has_more": False, "at": self.revision}
        if path == "/kv-watch":
            return 200, await self.watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
            )
        if path == "/kv-txn":
            call = json.loads(body)
            for row in call["writes"]:
                self.put(row["key"], row["value"], row["lease"])
            for key in call["delete"]:
                self.delete(key)
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            self.last_lease += 1
            self.leases.add(self.last_lease)
            ttl = json.loads(body)["ttl_ms"]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            return (200, {}) if int(path[9:]) in self.leases else (404, {})
        if path.startswith("/kv-lease-end/"):
            lease = int(path[14:])
            self.leases.discard(lease)
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait):
        until = now() + wait
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or now() >= until:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass


class Origin(Server):
    """The origin of weights; sends nothing spoilt."""

    async def answer(self, method, path, query, headers, body):
        version = int(query.get("version", "2"))
        if path == f"/manifest/{MODEL}":
            hashes = [
                hashlib.sha256(chunk(version, number)).hexdigest()
                for number in range(CHUNKS)
            ]
            value = {
                "model": MODEL,
                "version": version,
                "chunk_bytes": CHUNK_BYTES,
                "layers": LAYERS,
                "hashes": hashes,
            }
            return response(200, json.dumps(value).encode())
        if path == f"/piece/{MODEL}":
            return response(200, chunk(version, int(query["num"])))
        return response(404)


class Replica(Server):
    """A model replica that was there at the start: it holds version 1."""

    def __init__(self, address, record, rots):
        self.id, self.address, self.record, self.rots = "i-replica", address, record, rots
        self.born = int(time.time() * 1000)
        self.staged = [chunk(1, number) for number in range(CHUNKS)]
        self.bad_since, self.rotting = {}, False
        self.version, self.sequence, self.busy = 1, 0, False
        # The pieces that were bad for too long when the held layers were taken.
        self.bad_loaded = []
        self.accepted_at = None
        self.runs = []

    def entry(self):
        return {
            "service": "llm",
            "address": self.address,
            "zone": "north-a",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            **self.held(),
        }

    def held(self):
        if self.version == 0:
            return {"stage": "prefill_decode", "models": [], "layers": []}
        return {
            "stage": "prefill_decode",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "layers": [{"from": 0, "target": LAYERS, "version": self.version}],
        }

    async def answer(self, method, path, query, headers, body):
        if path == "/report":
            value = {
                **self.held(),
                "busy": self.busy,
                "sequence": self.sequence,
                "queued": 0,
                "active": 0,
                "kv_used": 0,
                "kv_total": 1180000,
                "open_handles": 0,
                "born": self.born,
            }
            return response(200, json.dumps(value).encode())
        if path == f"/stage-get/{MODEL}":
            number = int(query["num"])
            await asyncio.sleep(READ_S)
            data = self.staged[number]
            self.on_read(number)
            return response(200, data)
        if path == f"/stage-put/{MODEL}":
            number = int(query["num"])
            self.staged[number] = body
            self.bad_since.pop(number, None)
            return response(200)
        if path == "/order":
            return self.order(json.loads(body))
        return self.run(headers)

    def on_read(self, number):
        """The first piece that is read of the new version turns bad later."""
        if not self.rots or self.rotting or self.accepted_at is not None:
            return
        if all(data == chunk(2, index) for index, data in enumerate(self.staged)):
            self.rotting = True
            asyncio.get_running_loop().call_later(ROT_AFTER_S, self.rot, number)

    def rot(self, number):
        self.staged[number] = bytes(CHUNK_BYTES)
        self.bad_since[number] = now()
        self.record(f"piece {number} turns bad, {ROT_AFTER_S} s after it was read")

    def order(self, order):
        if order.get("expected", self.sequence) != self.sequence or self.busy:
            return response(409)
        if order.get("target") == 0:
            self.sequence += 1
            self.version, self.bad_loaded = 0, []
            self.record("the replica gives up its weights by order")
            return response(202)
        self.sequence += 1
        self.busy = True
        self.accepted_at = now()
        ages = {
            number: now() - since
            for number, since in self.bad_since.items()
        }
        self.bad_loaded = [n for n, age in ages.items() if age > EXCUSED_S]
        self.record(
            f"the replica accepts an order to load version {order['version']}; bad "
            + (", ".join(f"piece {n} for {age:.2f} s" for n, age in ages.items()) or "none")
        )
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order["version"])
        return response(202)

    def loaded(self, version):
        self.busy, self.version = False, version

    def run(self, headers):
        attempt = headers.get("x-attempt-id", "")
        names = f"X-Attempt-Id: {attempt}\r\nX-Instance-Id: {self.id}\r\n"
        wanted = headers.get("x-expect-version")
        if (
            headers.get("x-expect-instance", self.id) != self.id
            or self.version == 0
            or (wanted is not None and int(wanted) != self.version)
        ):
            return response(421, headers=names + "X-Not-Executed: 1\r\n")
        self.runs.append((now(), attempt, self.version, bool(self.bad_loaded)))
        body = "".join(f"id: {i}\ndata: {attempt}\n\n" for i in range(1, EVENTS + 1))
        return response(
            200,
            body.encode(),
            names
            + f"X-Response-Seal: seal\r\nX-Weight-Versions: {self.version}\r\n"
            + "Content-Type: text/event-stream\r\n",
        )


SETTINGS = """machine_class={machine}
role={role}
serves={serves}
node_name={role}-1
ip={ip}
zone=north-a
region=north
zones.north-a=north
internal_ports={internal},{last_internal}
seed_nodes=
bootstrap=true
limits.link_mbps={link}
limits.memory_mb={memory}
heartbeat_ms=1200
bounds.touch_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=102
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.version_ms=8000
bounds.ttl_max_s=5
platform.address={store}
platform.form=kv
platform.ttl_min_ms=1000
{more}"""


def configuration(origin):
    engine = {
        "slots": 16, "stride": 5, "step_ms": 8.87, "per_seq_ms": 0.0388,
        "context_per_k": 0.0227, "read_per_s": 19100.0, "layers": LAYERS,
        "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
        "usual": {"prompt": 977, "answer": 94},
        "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": LOAD_S}],
    }
    return {
        "version": 3,
        "routes": [{
            "name": "summary", "host": "desk.example", "prefix": "/summary/",
            "kind": "stream", "timeout_ms": 6000, "target_latency_ms": 500,
            "gap_aim_ms": 400, "priority": 1, "service": "llm", "max_attempts": 2,
            "public": True, "sticky": True, "can_resume": True,
        }],
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 294,
             "cold_start_s": 3.0, "cold_per_s": 26.0, "engine": engine},
            {"name": "weights", "origin": origin, "link_mbps": 7.3, "max_conns": 48},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


class Case:
    def __init__(self, record_file, folder, role, rots, restarts):
        self.out = open(record_file, "w", encoding="utf-8")
        self.folder, self.role = folder, role
        self.rots, self.restarts = rots, restarts
        self.processes, self.started, self.began = [], {}, now()
        self.statuses = {}

    def record(self, line):
        self.out.write(f"{now() - self.began:7.3f} s  {line}\n")
        self.out.flush()

    async def start_process(self, role, settings):
        path = f"{self.folder}/settings-{role}"
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(f"{self.folder}/log-{role}", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "target/celerypost", role, stdout=log, stderr=log,
                env={"CELERYPOST_NODE_FILE": path, "PATH": "/usr/bin:/bin"},
            )
        self.processes.append(process)
        self.started[role] = process, settings

    async def ask(self, address, request):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request.encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 7)
            return int(head.split()[1])
        finally:
            writer.close()

    async def call_for_ever(self):
        """Sends one request after the other; the answers are counted."""
        sent = 0
        while True:
            sent += 1
            try:
                status = await self.ask(
                    (self.gateway, self.port + 1),
                    "POST /summary/one HTTP/1.1\r\nHost: desk.example\r\n"
                    f"X-Attempt-Id: q{sent}\r\nX-Deadline-Ms: 6000\r\nX-Model: {MODEL}\r\n"
                    "X-Token-Counts: 900,30\r\nX-Prompt-Prefix: aa:40,bb:860\r\n"
                    "Content-Length: 2\r\nConnection: close\r\n\r\nok",
                )
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                status = 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(0.05)

    async def run(self):
        choice = random.SystemRandom()
        network = f"127.{choice.randint(1, 250)}.{choice.randint(1, 250)}"
        self.port = choice.randint(15000, 30000)
        self.gateway, side = f"{network}.10", f"{network}.20"
        self.store, origin = Store(), Origin()
        self.replica = Replica(f"{side}:{self.port + 9}", self.record, self.rots)
        try:
            await self.store.listen(f"{network}.1", self.port)
            await origin.listen(f"{network}.2", self.port)
            await self.replica.listen(side, self.port + 9)
        except OSError:
            self.record("the stand-ins could not listen")
            return NOT_CHECKED
        self.store.put("op/config", configuration(f"{network}.2:{self.port}"))
        self.store.put(f"servers/{self.replica.id}", self.replica.entry())
        common = {
            "store": f"{network}.1:{self.port}",
            "internal": self.port + 10,
            "last_internal": self.port + 25,
        }
        gateway_settings = SETTINGS.format(
            machine="edge", role="gateway", serves="edge,directory", ip=self.gateway,
            link=1000.0, memory=260,
            more="".join(
                f"listen.{name}={self.gateway}:{self.port + offset}\n"
                for offset, name in ((1, "front"), (2, "ready"), (3, "directory"))
            ), **common,
        )
        stager_settings = SETTINGS.format(
            machine="side", role="stager", serves="side", ip=side, link=7.3, memory=128,
            more=f"app={self.replica.address}\nservice=llm\n", **common,
        )
        await self.start_process("gateway", gateway_settings)
        await self.start_process("stager", stager_settings)
        await asyncio.sleep(SETTLE_S)
        caller = asyncio.create_task(self.call_for_ever())
        beats = asyncio.create_task(self.write_entries())
        await asyncio.sleep(1)
        self.record("the operator names version 2")
        self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        until = now() + TIMEOUT_S
        while self.replica.accepted_at is None and now() < until:
            await asyncio.sleep(0.02)
        if self.replica.accepted_at is None:
            self.record("not checked: the replica was not ordered to load")
            return NOT_CHECKED
        if self.restarts:
            await asyncio.sleep(END_AFTER_S[self.role])
            await self.restart()
        await asyncio.sleep(WATCHED_S)
        caller.cancel()
        beats.cancel()
        return self.judge()

    async def restart(self):
        process, settings = self.started[self.role]
        process.send_signal(END_SIGNAL[self.role])
        await asyncio.wait_for(process.wait(), GRACE_S)
        self.record(f"the {self.role} has ended by {END_SIGNAL[self.role].name}")
        await asyncio.sleep(RESTART_AFTER_S)
        await self.start_process(self.role, settings)
        self.record(f"the {self.role} is started again")

    async def write_entries(self):
        last = None
        while True:
            entry = self.replica.entry()
            if entry != last:
                self.store.put(f"servers/{self.replica.id}", entry)
                last = entry
            await asyncio.sleep(1.2)

    def judge(self):
        bad = [run for run in self.replica.runs if run[3]]
        for status, count in sorted(self.statuses.items()):
            self.record(f"requests answered {status}: {count}")
        for version in (1, 2):
            count = sum(1 for run in self.replica.runs if run[2] == version)
            self.record(f"runs on version {version}: {count}")
        self.record(f"runs with a layer that was taken from a bad piece: {len(bad)}")
        for at, attempt, version, _ in bad[:5]:
            self.record(
                f"bad: {attempt} ran on version {version} {at - self.began:.3f} s in"
            )
        if self.statuses.get(200, 0) < 10:
            self.record("not checked: too few requests were answered")
            return NOT_CHECKED
        self.record("broken" if bad else "held")
        return BROKEN if bad else HELD

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def main():
    trouble = os.environ.get("TROUBLE", "1")
    case = Case(*sys.argv[1:4], trouble in ("1", "rot"), trouble in ("1", "restart"))
    try:
        return await case.run()
    finally:
        await case.end()


if __name__ == "__main__":
    # Also an end by the time limit of the script ends the processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_CHECKED))
    sys.exit(asyncio.run(main()))
