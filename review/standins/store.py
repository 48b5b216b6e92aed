"""Stand-in for the platform's metadata store (PROTOCOL.md).

Runs inside the test's process, one thread a connection. Nothing that it has
acknowledged is lost, its responses are linearizable, and its revision starts
above 0.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Store:
    """Keys, leases and history behind the HTTP calls of the platform."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 7000
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                try:
                    self.reply(*store.read(url.path, query))
                except OSError:
                    self.close_connection = True

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                self.reply(*store.write(urlparse(self.path).path, body))

            def do_DELETE(self):
                store.end_lease(int(self.path.rsplit("/", 1)[1]))
                self.reply(200, {})

        class QuietServer(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # A process that is killed resets its connections.

        self.server = QuietServer((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address[:2]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes as the operator or a replica does; returns the revision."""
        with self.changed:
            self.revision += 1
            self.set(key, json.dumps(value).encode(), lease)
            self.changed.notify_all()
            return self.revision

    def set(self, key, value, lease):
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": old["created_at"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True})

    def end_lease(self, lease):
        with self.changed:
            self.leases.pop(lease, None)
            self.drop_keys_of(lease)

    def drop_keys_of(self, lease):
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [l for l, v in self.leases.items() if v[1] < now]:
                    self.leases.pop(lease)
                    self.drop_keys_of(lease)

    def read(self, path, query):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, at=self.revision)) if item else (404, {})
            prefix = query.get("prefix", "")
            if path == "/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(prefix) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys[:500]],
                             "has_more": len(keys) > 500, "at": self.revision}
            if path != "/kv-watch":
                return 404, {}
            after = int(query["after"])
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history
                          if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(left)

    def write(self, path, body):
        with self.changed:
            if path == "/kv-lease":
                self.next_lease += 1
                ttl = max(1000, int(body["ttl_ms"]))
                self.leases[self.next_lease] = [ttl / 1000,
                                                time.monotonic() + ttl / 1000]
                return 200, {"lease": self.next_lease, "ttl_ms": ttl}
            if path.startswith("/kv-keep/"):
                lease = self.leases.get(int(path.rsplit("/", 1)[1]))
                if not lease:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0]
                return 200, {"ttl_ms": int(lease[0] * 1000)}
            if path != "/kv-txn":
                return 404, {}
            for row in body.get("expected", []):
                held = self.items.get(row["key"], {"revision": 0})
                if held["revision"] != row["revision"]:
                    return 412, {"items": [
                        self.items[r["key"]] for r in body["expected"]
                        if r["key"] in self.items]}
            for write in body.get("writes", []):
                if write.get("lease") and write["lease"] not in self.leases:
                    return 404, {}
            self.revision += 1
            for write in body.get("writes", []):
                self.set(write["key"], base64.b64decode(write["value"]),
                         write.get("lease", 0))
            for key in body.get("delete", []):
                self.remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}
