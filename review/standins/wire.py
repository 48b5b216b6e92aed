"""Small HTTP/1.1 pieces for the stand-ins of clients and replicas."""

import json
import os
import socket
import struct
import threading

from deployment import loopback


class Head:
    """The first line and the headers of a message."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()

    def status(self):
        return int(self.first.split(" ")[1])


def read_head(reader):
    """Returns the next head, or None at the end of the connection."""
    lines = []
    while True:
        line = reader.readline(65536)
        if not line:
            return None
        if line == b"\r\n":
            return Head(b"".join(lines).rstrip(b"\r\n"))
        lines.append(line)


def read_body(reader, head):
    """Returns a complete body; raises EOFError when it is cut off."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = reader.readline(1024)
            if not line.endswith(b"\r\n"):
                raise EOFError
            size = int(line.split(b";")[0], 16)
            data = reader.read(size + 2)
            if len(data) < size + 2:
                raise EOFError
            if size == 0:
                return body
            body += data[:-2]
    length = int(head.headers.get("content-length", "0"))
    body = reader.read(length)
    if len(body) < length:
        raise EOFError
    return body


class Server:
    """Listens on a loopback address; `handle(sock, reader, head, body)`
    answers each request and returns False to close the connection."""

    def __init__(self, handle, ip=None):
        self.handle = handle
        self.lock = threading.Lock()
        self.sockets = set()
        self.ip, self.port = ip or loopback(), 0
        self.listen()
        self.address = "%s:%d" % (self.ip, self.port)

    def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, self.port))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()

    def crash(self):
        """Ends like a process that crashes: its connections are reset and its
        port refuses new ones."""
        with self.lock:
            sockets, self.sockets = self.sockets, set()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in sockets:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            except OSError:
                pass

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.sockets.add(sock)
            threading.Thread(target=self.serve, args=(sock,),
                             daemon=True).start()

    def serve(self, sock):
        reader = sock.makefile("rb", buffering=65536)
        try:
            while True:
                head = read_head(reader)
                if head is None:
                    break
                if not self.handle(sock, reader, head,
                                   read_body(reader, head)):
                    break
        except (OSError, EOFError, ValueError):
            pass
        finally:
            with self.lock:
                self.sockets.discard(sock)
            reader.close()
            sock.close()


def respond(sock, status, headers, body):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = dict(headers, **{"Content-Type": "application/json"})
    lines = ["HTTP/1.1 %d Status" % status]
    lines += ["%s: %s" % item for item in headers.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    sock.sendall("\r\n".join(lines).encode() + body)
    return True


def attempt_id():
    return os.urandom(8).hex()


def request_bytes(method, path, host, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host]
    lines += ["%s: %s" % item for item in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines + ["", ""]).encode() + body


def call(address, method, path, host="", headers=None, body=b"", timeout=5):
    """One request on a connection of its own; returns head and body."""
    ip, port = address.rsplit(":", 1)
    with socket.create_connection((ip, int(port)), timeout) as sock:
        sock.sendall(request_bytes(method, path, host or address,
                                   headers or {}, body))
        reader = sock.makefile("rb")
        head = read_head(reader)
        if head is None:
            raise EOFError
        return head, read_body(reader, head)
