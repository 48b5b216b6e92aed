"""Stand-ins for a model replica and for the origin of weights."""

import hashlib
import json
import random
import threading
import time
from urllib.parse import parse_qs, urlparse

from site_documents import MODEL, registration
from wire import Server, respond

CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16
WARM_S = 0.3


class Weights:
    """The bytes of all versions of the model."""

    def __init__(self):
        # Pieces that are equal to another one, by version and number.
        self.equal = {}

    def piece(self, version, number):
        version, number = self.equal.get((version, number), (version, number))
        return random.Random(version * 1000 + number).randbytes(CHUNK_BYTES)

    def digests(self, version):
        return [hashlib.sha256(self.piece(version, n)).hexdigest()
                for n in range(CHUNKS)]


class Origin:
    """Serves manifests and pieces over a link of 7.3 Mbit/s."""

    def __init__(self, note):
        self.note = note
        self.weights = Weights()
        self.newest = 1
        # Answers to manifest requests that are still to be spoilt.
        self.spoil = 0
        self.manifests = 0
        self.answers = 0
        self.link = threading.Lock()
        self.server = Server(self.handle)
        self.address = self.server.address

    def handle(self, sock, _reader, head, _body):
        url = urlparse(head.first.split(" ")[1])
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        version = int(query.get("version", self.newest))
        self.answers += 1
        if version > self.newest:
            return respond(sock, 404, {}, b"")
        if version <= self.newest - 2:
            return respond(sock, 410, {}, b"")
        if url.path.startswith("/manifest/"):
            hashes = self.weights.digests(version)
            self.manifests += 1
            spoilt = self.spoil > 0
            if spoilt:
                self.spoil -= 1
                # One wrong byte: a hexadecimal digit is another one.
                first = "0" if hashes[40][0] != "0" else "1"
                hashes[40] = first + hashes[40][1:]
            self.note("origin: manifest of version %d%s" %
                      (version, ", one digit of a hash is wrong" if spoilt else ""))
            return respond(sock, 200, {}, {
                "model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES,
                "layers": LAYERS, "hashes": hashes})
        data = self.weights.piece(version, int(query["num"]))
        with self.link:
            time.sleep(len(data) * 8 / 7.3e6)
        return respond(sock, 200, {}, data)


class Replica:
    """A model replica that holds version 1 and registers itself."""

    def __init__(self, name, store, service, note, ip, weights):
        self.name = name
        self.store = store
        self.service = service
        self.note = note
        self.weights = weights
        self.lock = threading.RLock()
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.version = 1
        self.staged = {n: weights.piece(1, n) for n in range(CHUNKS)}
        # Since when a staged piece has been bad.
        self.bad_since = {}
        # Pieces that were bad for over 3 s when the layers were taken.
        self.taken_bad = []
        self.loading_until = 0.0
        self.next_version = 0
        self.reads = []
        self.runs = {}
        self.tokens_with_bad = 0
        self.ended = False
        self.server = Server(self.handle, ip)
        self.address = self.server.address
        threading.Thread(target=self.register, daemon=True).start()

    def register(self):
        while not self.ended:
            with self.lock:
                self.settle()
                entry = registration(self.service, self.address, self.born,
                                     self.sequence, 16, self.version)
            self.store.put("servers/" + self.name, entry)
            time.sleep(1.2)

    def settle(self):
        if self.next_version and time.monotonic() >= self.loading_until:
            self.version = self.next_version
            self.next_version = 0
            self.sequence += 1
            self.note("%s serves version %d" % (self.name, self.version))

    def rot(self, number):
        """A staged piece turns bad, as a spoilt piece of `garble` does."""
        with self.lock:
            data = self.staged[number]
            self.staged[number] = bytes([data[0] ^ 255]) + data[1:]
            self.bad_since[number] = time.monotonic()
            self.note("%s: staged piece %d turns bad" % (self.name, number))

    def take(self, version):
        now = time.monotonic()
        bad = [n for n in range(CHUNKS) if self.staged.get(n) != self.weights.piece(version, n)]
        self.taken_bad = [n for n in bad
                          if now - self.bad_since.get(n, 0.0) > 3.0]
        self.note("%s takes version %d; bad pieces %s" % (self.name, version, [
            "%d for %.2f s" % (n, now - self.bad_since[n])
            if n in self.bad_since else str(n) for n in bad]))
        self.next_version = version
        self.loading_until = now + WARM_S

    def handle(self, sock, _reader, head, body):
        method, target, _ = head.first.split(" ")
        url = urlparse(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/report":
            with self.lock:
                self.settle()
                return respond(sock, 200, {}, {
                    "stage": "prefill_decode", "busy": self.next_version != 0,
                    "models": [{"name": MODEL, "version": self.version,
                                "adapters": []}],
                    "sequence": self.sequence, "queued": 0, "active": 0,
                    "kv_used": 0, "kv_total": 1180000, "open_handles": 0,
                    "born": self.born})
        if url.path.startswith("/stage-put/"):
            with self.lock:
                self.staged[int(query["num"])] = body
                self.bad_since.pop(int(query["num"]), None)
            return respond(sock, 200, {}, b"")
        if url.path.startswith("/stage-get/"):
            with self.lock:
                data = self.staged.get(int(query["num"]))
                self.reads.append((time.monotonic(), int(query["num"])))
            return respond(sock, 200 if data else 404, {}, data or b"")
        if url.path == "/order":
            order = json.loads(body)
            with self.lock:
                self.settle()
                if self.next_version or \
                        order.get("expected", self.sequence) != self.sequence:
                    return respond(sock, 409, {}, b"")
                self.sequence += 1
                self.take(int(order["version"]))
            return respond(sock, 202, {}, b"")
        return self.answer(sock, head)

    def answer(self, sock, head):
        attempt = head.headers.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt}
        if head.headers.get("x-expect-instance") != self.name:
            return respond(sock, 421, dict(common, **{"X-Instance-Id": self.name}),
                           b"")
        with self.lock:
            self.settle()
            busy = self.next_version != 0
        if busy:
            return respond(sock, 503, dict(common, **{"X-Not-Executed": "1"}), b"")
        with self.lock:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self.tokens_with_bad += 1 if self.taken_bad else 0
        sock.sendall(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "X-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.%s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" %
                      (attempt, attempt)).encode())
        for event in range(1, 6):
            time.sleep(0.03)
            data = b"id: %d\ndata: %s\n\n" % (event, b"x" * 56)
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        sock.sendall(b"0\r\n\r\n")
        return True
