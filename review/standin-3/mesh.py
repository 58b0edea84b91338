"""Stand-ins for the platform on loopback: the store, a network between the nodes, endpoints, and real node processes.

Only what the cases of the third review need. Everything runs in one asyncio loop; the nodes are separate processes.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
from collections import defaultdict

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "limpetd-platform")
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, one line each, with the time in seconds."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.out.write(f"{now():9.4f} {what} {text}\n")

    def close(self):
        self.out.close()


# Below the range of outgoing connections: one of them could otherwise take the port of a node that restarts.
LISTEN_PORTS = range(12000, 32000)
# Bound UDP ports of the same numbers keep other runs from choosing them.
RESERVATIONS = []


def free_ports(count):
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().choice(LISTEN_PORTS)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                reservation.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
        RESERVATIONS.append(reservation)
        ports.append(port)
    return ports


# --- HTTP ---------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the words of the start line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_message(reader):
    """Returns start line, headers and body of a message with a Content-Length, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def response(status, headers=None, body=b""):
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


def request(method, path, headers, body=b""):
    fields = dict(headers)
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = len(body)
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


# --- The store ----------------------------------------------------------------------------------


class Group:
    """A consumer group: even distribution, and a partition moves only once its last member has let it go."""

    def __init__(self, topic, parts):
        self.topic = topic
        self.parts = parts
        self.generation = 0
        self.members = {}
        self.held = {}
        self.planned = {}
        self.moved_in = {}

    def rebalance(self):
        self.generation += 1
        names = sorted(self.members)
        for part in range(self.parts):
            member = names[part % len(names)] if names else None
            if self.planned.get(part) != member:
                self.planned[part] = member
                self.moved_in[part] = self.generation

    def remove(self, names):
        for name in names:
            del self.members[name]
            self.held = {part: member for part, member in self.held.items() if member != name}
        if names:
            self.rebalance()

    def expire(self):
        self.remove([name for name, (seen, ttl) in self.members.items() if now() >= seen + ttl])

    def join(self, member, generation, ttl):
        self.expire()
        is_new = member not in self.members
        self.members[member] = (now(), ttl)
        if is_new:
            self.rebalance()
        rows = []
        for part in range(self.parts):
            if self.planned[part] != member:
                if self.held.get(part) == member and generation >= self.moved_in[part]:
                    del self.held[part]
                continue
            if self.held.setdefault(part, member) == member:
                rows.append([self.topic, part, 0])
        return rows


class Store:
    """The platform's store for keyed topics and groups. While `down`, every call gets 503 and does nothing. With an `era`,
    all answers bear it in the header Store-Era."""

    def __init__(self, record, parts=32, era=None):
        self.record = record
        self.parts = parts
        self.era = era
        self.down = False
        self.topics = {}
        self.groups = {}
        self.joins = defaultdict(int)
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()
        self.record.add("store_put", topic=topic, key=key, bytes=len(value))

    def copy(self):
        return {topic: list(records) for topic, records in self.topics.items()}

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and the era rises by one."""
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.groups = {}
        self.era += 1
        self.record.add("store_restored", era=self.era)

    def lapse(self):
        """All memberships run out, as they may while the store is down."""
        for group in self.groups.values():
            group.remove(list(group.members))
        self.record.add("store_lapse")

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, _), _, body = message
                answer = response(503) if self.down else await self.respond(target, body)
                if self.era is not None:
                    answer = answer.replace(b"\r\n", f"\r\nStore-Era: {self.era}\r\n".encode(), 1)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def respond(self, target, body):
        path, _, query = target.partition("?")
        fields = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        topic = fields.get("topic", "")
        if path == "/log-append":
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4 : 4 + length], body[4 + length :]
                size = content[0]
                await self.put(topic, content[1 : 1 + size].decode(), content[1 + size :])
            end = len(self.topics[topic])
            return response(200, body=json.dumps({"offset": end - 1, "end": end}).encode())
        if path == "/log-newest":
            records = self.topics.get(topic, [])
            newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
            ]
            return response(200, body=json.dumps({"items": items, "more": False, "end": len(records)}).encode())
        if path == "/log-read":
            return await self.read(topic, int(fields["from"]), int(fields.get("wait_ms", 0)) / 1000)
        if path == "/log-join":
            call = json.loads(body)
            group = self.groups.setdefault(call["group"], Group(call["topics"][0], self.parts))
            self.joins[call["member"]] += 1
            rows = group.join(call["member"], call["generation"], call["ttl_ms"] / 1000)
            self.record.add("store_join", member=call["member"], knew=call["generation"],
                            generation=group.generation, parts=len(rows))
            answer = {"generation": group.generation, "ttl_ms": call["ttl_ms"], "parts": rows}
            return response(200, body=json.dumps(answer).encode())
        if path == "/log-leave":
            call = json.loads(body)
            group = self.groups.get(call["group"])
            if group and call["member"] in group.members:
                group.remove([call["member"]])
            return response(200, body=b"{}")
        return response(404)

    async def read(self, topic, start, wait_s):
        if start > len(self.topics.get(topic, [])):
            return response(410, body=b'{"first": 0}')
        async with self.changed:
            try:
                async with asyncio.timeout(max(0.001, wait_s)):
                    await self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
            except TimeoutError:
                pass
            records = self.topics.get(topic, [])[start:]
        if self.down:
            return response(503)
        body = struct.pack(">QQ", start + len(records), 0)
        for key, value in records:
            name = key.encode()
            body += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
        return response(200, body=body)


# --- The network --------------------------------------------------------------------------------


class Proxy:
    """Forwards connections to one address. While `blocked`, nothing passes in either direction; `blocked_from` does the
    same for the nodes with these names, which the first frame of a link holds."""

    def __init__(self, upstream_port, names=()):
        self.upstream_port = upstream_port
        self.names = names
        self.blocked = False
        self.blocked_from = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        up_writer = None
        try:
            first = await reader.read(65536)
            places = {first.find(name.encode()): name for name in self.names if name.encode() in first}
            sender = places[min(places)] if places else ""
            await self.wait(sender)
            if first and not reader.at_eof():
                up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.upstream_port)
                up_writer.write(first)
                await asyncio.gather(self.forward(sender, reader, up_writer), self.forward(sender, up_reader, writer))
        except OSError:
            pass
        finally:
            for end in (writer, up_writer):
                if end is not None:
                    end.close()

    async def wait(self, sender):
        while self.blocked or sender in self.blocked_from:
            await asyncio.sleep(0.005)

    async def forward(self, sender, reader, writer):
        while data := await reader.read(65536):
            await self.wait(sender)
            writer.write(data)
            await writer.drain()
        await self.wait(sender)
        if writer.can_write_eof():
            writer.write_eof()


# --- Endpoints and nodes ------------------------------------------------------------------------


class Endpoint:
    """The application beside a node. `on_run` is called with the headers, path and body of a request that it runs."""

    def __init__(self, name, service, on_run, slots=18, work_s=0.004, version="v1"):
        self.name = name
        self.service = service
        self.on_run = on_run
        self.slots = slots
        self.work_s = work_s
        self.version = version
        self.running = 0
        self.state = "ready"
        self.control_port = 0
        self.start_incarnation()

    def start_incarnation(self):
        self.instance = f"i-{self.name}-{os.urandom(3).hex()}"
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def heartbeat_body(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "a", "version": self.version,
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def announce(self, method="PUT", body=None):
        """Returns whether the node acknowledged the call."""
        body = self.heartbeat_body() if body is None else body
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
                try:
                    writer.write(request(method, f"/instances/{self.instance}",
                                         {"Host": "n", "Content-Type": "application/json"}, body))
                    message = await read_message(reader)
                finally:
                    writer.close()
            return message is not None and message[0][1].startswith("2")
        except (OSError, TimeoutError):
            return False

    async def heartbeats(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.5 if self.sequence > 2 else 0.3)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                (method, path, _), headers, body = message
                if path == "/health":
                    status = 200 if self.state == "ready" else 503
                    writer.write(response(status, {"X-Instance-Id": self.instance}))
                else:
                    writer.write(await self.handle(method, path, headers, body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, headers, body):
        echo = {"X-Request-Id": headers.get("x-request-id", "")}
        if headers.get("x-expected-instance", self.instance) != self.instance:
            return response(421, echo)
        if self.running >= self.slots:
            return response(503, {**echo, "X-Not-Executed": "1"})
        self.running += 1
        try:
            self.on_run(self, method, path, headers, body)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return response(200, {**echo, "X-Server-Signature": self.instance}, path.encode())


class Node:
    """A real node process with its endpoint and, if `proxied`, a proxy on its links and one on its path to the store."""

    def __init__(self, name, zone, endpoint, folder, extra_settings="", proxied=True):
        self.name = name
        self.zone = zone
        self.endpoint = endpoint
        self.folder = folder
        self.extra_settings = extra_settings
        self.proxied = proxied
        self.process = None

    async def start(self, store, names=()):
        """`names` are those of all nodes."""
        self.outbound, self.ready, control, self.links, self.metrics = free_ports(5)
        self.endpoint.control_port = control
        await self.endpoint.start()
        self.link_proxy = Proxy(self.links, names)
        self.store_proxy = Proxy(store.port)
        await self.link_proxy.start()
        await self.store_proxy.start()
        link_port = self.link_proxy.port if self.proxied else self.links
        store_port = self.store_proxy.port if self.proxied else store.port
        self.settings = os.path.join(self.folder, self.name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(
                f"[node]\nname = {self.name}\ndata_centre = {self.zone}\nservice = {self.endpoint.service}\n"
                f"host = 127.0.0.1\n\n[edge]\noutbound = 127.0.0.1:{self.outbound}\n"
                f"readiness = 127.0.0.1:{self.ready}\nannouncements = 127.0.0.1:{control}\n"
                f"target = 127.0.0.1:{self.endpoint.port}\nstore = 127.0.0.1:{store_port}\n"
                f"store_partitions = {store.parts}\nlink_mbps = 1000\nmemory_mb = 260\n"
                f"link_port = {link_port}\nlink_listen_port = {self.links}\n"
                f"metrics_port = {self.metrics}\n\n[retries]\nratio = 0.2\nextra = 62\n\n"
                f"[stop]\ngrace_period_ms = 6000\n\n{self.extra_settings}")
        self.run()
        self.beats = asyncio.create_task(self.endpoint.heartbeats())

    def run(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        import subprocess

        self.process = subprocess.Popen([BINARY], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={"LIMPETGRADE_BOOT": self.settings, "PATH": os.environ["PATH"]})
        log.close()

    def kill(self, number=signal.SIGKILL):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                try:
                    writer.write(request("GET", "/readiness", {"Host": "n"}))
                    message = await read_message(reader)
                finally:
                    writer.close()
            return message is not None and message[0][1] == "200"
        except (OSError, TimeoutError):
            return False

    def stop(self):
        self.beats.cancel()
        self.kill(signal.SIGCONT)
        self.kill()
        self.process.wait()


async def wait_until_ready(nodes, seconds=20.0):
    end = now() + seconds
    while now() < end:
        if all([await node.is_ready() for node in nodes]):
            return True
        await asyncio.sleep(0.2)
    return False


class Client:
    """A client with one kept connection to the outbound address of its machine. `on_answer` gets what came back."""

    def __init__(self, node, record):
        self.node = node
        self.record = record
        self.reader = None
        self.writer = None

    def disconnect(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, headers, body=b"", timeout=3.0):
        """Returns the id, the time of sending, and the status, headers and body of the answer (status 0: none)."""
        request_id = os.urandom(8).hex()
        sent = now()
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.node.outbound)
                sent = now()
                fields = {"Host": "mesh.example", "X-Request-Id": request_id, **headers}
                self.writer.write(request(method, path, fields, body))
                message = await read_message(self.reader)
        except (OSError, TimeoutError):
            message = None
        if message is None:
            self.disconnect()
            return request_id, sent, 0, {}, b""
        if message[1].get("connection", "").lower() == "close":
            self.disconnect()
        return request_id, sent, int(message[0][1]), message[1], message[2]


def work_folder():
    return tempfile.mkdtemp(prefix="limpet-review-")
