"""Stand-ins for the platform around real nodes on loopback: its store, its supervisor, endpoints and clients.

One event loop runs all of them. Each machine has its own loopback address; the ports are the same on all machines. What
was sent, answered and run goes to record.txt in the folder of the case.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
import zlib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "limpetd-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAM_LIMIT = 1 << 20

# Bounds of the small deployments (sites/skt-mesh.toml).
CONTACT_WINDOW_S = 3.0
DRAIN_TIMEOUT_S = 2.0
CONFIG_APPLY_S = 2.0
GRACE_PERIOD_S = 6.0
MEMORY_MB = 260
LINK_MBPS = 1000.0
SLOTS = 12
IDLE_CLOSE_S = 10
HEARTBEAT_S = 0.87
RESTART_DELAY_S = 0.5


class Unusable(Exception):
    """The case could not run."""


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader, idle_s=None):
    """Returns (start line, headers, body), or None at the end of the connection or after `idle_s` without a head."""
    try:
        async with asyncio.timeout(idle_s):
            head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError, TimeoutError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0].split(" ", 2), headers, body


def encode(start_line, headers, body=b""):
    fields = {"Content-Length": str(len(body)), **headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start_line}\r\n{lines}\r\n".encode() + body


async def exchange(address, method, path, headers, body=b"", timeout=5.0):
    """One request on a new connection. Returns (status, headers, body), or None without a whole answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=STREAM_LIMIT)
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
    return None if message is None else (int(message[0][1]), message[1], message[2])


class LinkProxy:
    """Forwards the connections that other nodes open to one node, each at the rate of the machine's link. Bytes that
    were on the way when the sender closed its connection still arrive; after a reset they are dropped."""

    RATE = LINK_MBPS * 1e6 / 8
    CHUNK_BYTES = 32768

    def __init__(self, upstream):
        self.upstream = upstream
        self.forwarded_bytes = 0

    async def start(self, host, port):
        await asyncio.start_server(self.serve, host, port, limit=2 * self.CHUNK_BYTES)

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.upstream, limit=2 * self.CHUNK_BYTES)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.forward(reader, up_writer), self.forward(up_reader, writer))

    async def forward(self, reader, writer):
        free_at = time.monotonic()
        try:
            while data := await reader.read(self.CHUNK_BYTES):
                free_at = max(free_at, time.monotonic()) + len(data) / self.RATE
                if free_at - time.monotonic() > 0.001:
                    await asyncio.sleep(free_at - time.monotonic())
                writer.write(data)
                self.forwarded_bytes += len(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


class Store:
    """The platform's store: keyed topics with one partition each. While `silent` is set, calls get no response; a
    connection on which a response was lost returns nothing further."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.silent = False
        self.address = None

    async def start(self, host, port):
        self.address = (host, port)
        await asyncio.start_server(self.serve, host, port)

    async def publish(self, version, resources):
        value = json.dumps({"version": f"r{version}", "resources": resources}).encode()
        await self.append("keyed.op", "config", value)
        self.record.write(f"operator: r{version} acknowledged by the store")

    async def append(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError):
            while (message := await read_message(reader)) is not None:
                lost = self.silent
                response = b"" if lost else await self.respond(*message)
                if lost or self.silent:
                    self.record.write(f"store: no response to {message[0][0]} {message[0][1]}")
                    while await reader.read(4096):
                        pass
                    break
                writer.write(response)
                await writer.drain()
        writer.close()

    async def respond(self, start_line, _headers, body):
        url = urlsplit(start_line[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/log-append":
            end = 5 + body[4]
            await self.append(topic, body[5:end].decode(), body[end:])
            count = len(self.topics[topic])
            return encode("HTTP/1.1 200 OK", {}, json.dumps({"offset": count - 1, "end": count}).encode())
        records = self.topics.get(topic, [])
        if url.path == "/log-newest":
            newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
            ]
            page = {"items": items, "more": False, "end": len(records)}
            return encode("HTTP/1.1 200 OK", {}, json.dumps(page).encode())
        start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.001, wait_s)):
                    await self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
            records = self.topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            data += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
        return encode("HTTP/1.1 200 OK", {}, data)


class Endpoint:
    """The application beside a node."""

    def __init__(self, mesh, name, service, zone, host, work_s=0.05):
        self.mesh, self.service, self.zone, self.host, self.work_s = mesh, service, zone, host, work_s
        self.instance = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.active = 0
        self.beats = None
        self.sent_beats = []

    async def start(self):
        await asyncio.start_server(self.serve, self.host, self.mesh.ports["target"], limit=STREAM_LIMIT)

    def start_beats(self):
        self.beats = asyncio.create_task(self.send_beats())

    async def send_beats(self):
        while True:
            await self.announce("PUT", self.make_beat())
            await asyncio.sleep(HEARTBEAT_S)

    def make_beat(self):
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": f"{self.host}:{self.mesh.ports['target']}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(beat).encode()

    async def announce(self, method, body=b""):
        address = (self.host, self.mesh.ports["control"])
        headers = {"Host": "control", "Content-Type": "application/json"}
        answer = await exchange(address, method, f"/instances/{self.instance}", headers, body, 1.0)
        return answer is not None and 200 <= answer[0] < 300

    async def leave(self):
        """Leaves by DELETE, without the state draining before; goes on serving. Returns the time of the answer."""
        self.beats.cancel()
        self.leaving = True
        acknowledged = await self.announce("DELETE")
        self.mesh.record.write(f"endpoint {self.instance}: DELETE, acknowledged: {acknowledged}")
        return time.monotonic() if acknowledged else None

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError):
            while (message := await read_message(reader, IDLE_CLOSE_S)) is not None:
                writer.write(await self.handle(*message))
                await writer.drain()
        writer.close()

    async def handle(self, start_line, headers, body):
        if start_line[1] == "/health":
            status = "503 Service Unavailable" if self.leaving else "200 OK"
            return encode(f"HTTP/1.1 {status}", {"X-Instance-Id": self.instance})
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id, "Keep-Alive": f"timeout={IDLE_CLOSE_S}"}
        if headers.get("x-expected-instance", self.instance) != self.instance:
            return encode("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.instance, **echo})
        if self.active >= SLOTS:
            return encode("HTTP/1.1 503 Service Unavailable", {"X-Not-Executed": "1", **echo})
        self.active += 1
        self.mesh.on_run(self, request_id, start_line, body)
        await asyncio.sleep(self.work_s)
        self.active -= 1
        answer = f"{request_id} {self.service}".encode()
        return encode("HTTP/1.1 200 OK", {**echo, "X-Server-Signature": f"{self.instance}.1"}, answer)


class Node:
    """A machine: the real program as a process of its own, restarted by the platform when it ends, and the endpoint."""

    def __init__(self, mesh, name, service, zone, host):
        self.mesh, self.name, self.service, self.zone, self.host = mesh, name, service, zone, host
        self.endpoint = Endpoint(mesh, name, service, zone, host)
        self.process = None
        self.link_proxy = None
        self.started_at = 0.0
        self.ends = []
        self.supervisor = None

    async def start(self):
        await self.endpoint.start()
        ports, at = self.mesh.ports, lambda port: f"{self.host}:{self.mesh.ports[port]}"
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "service": self.service,
            "ip": self.host,
            "listen_addresses.outbound": at("outbound"),
            "listen_addresses.ready": at("ready"),
            "listen_addresses.control": at("control"),
            "application_address": at("target"),
            "platform.address": f"{self.mesh.store.address[0]}:{self.mesh.store.address[1]}",
            "limits.link_mbps": str(LINK_MBPS),
            "limits.memory_mb": str(MEMORY_MB),
            "internal_port_range.0": str(ports["link"]),
        }
        bounds = {"retry_budget_ratio": "0.2", "retry_budget_extra": "62", "grace_period_s": str(int(GRACE_PERIOD_S))}
        with open(os.path.join(ROOT, "deploy", "settings.ini.template"), encoding="utf-8") as template:
            text = template.read()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        for name, value in bounds.items():
            section = f"bounds.{name}"
            text = text.replace("{{#" + section + "}}", "").replace("{{/" + section + "}}", "")
            if name.split("_", 1)[0] in ("retry", "grace"):
                key = {"retry_budget_ratio": "ratio = ", "retry_budget_extra": "extra = "}.get(name, "grace_period_ms = ")
                text = text.replace(key + "{{.}}", key + value)
        # The machine of the case may use the port of the template for something else.
        text = text.replace("metrics_port = 9464", f"metrics_port = {ports['metrics']}")
        if self.mesh.shaped_links:
            self.link_proxy = LinkProxy((self.host, ports["link_listen"]))
            await self.link_proxy.start(self.host, ports["link"])
            text = text.replace("metrics_port", f"link_listen_port = {ports['link_listen']}\nmetrics_port")
        self.settings = os.path.join(self.mesh.folder, self.name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        self.supervisor = asyncio.create_task(self.supervise())

    async def supervise(self):
        while True:
            with open(os.path.join(self.mesh.folder, self.name + ".log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    PROGRAM,
                    cwd=ROOT,
                    stdout=log,
                    stderr=log,
                    env={"PATH": os.environ.get("PATH", ""), "LIMPETGRADE_BOOT": self.settings},
                )
            self.started_at = time.monotonic()
            self.mesh.record.write(f"platform: {self.name} starts, pid {self.process.pid}")
            code = await self.process.wait()
            self.ends.append(code)
            self.mesh.record.write(f"platform: {self.name} has ended, code {code}")
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number):
        self.mesh.record.write(f"platform: {signal.Signals(number).name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    def kill_for_memory(self):
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()

    def resident_mb(self):
        """Memory of the process without the pages of its program and libraries, in MB of 10^6 bytes."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except (OSError, AttributeError):
            pass
        return 0.0

    async def is_ready(self):
        answer = await exchange((self.host, self.mesh.ports["ready"]), "GET", "/readiness", {"Host": "r"}, timeout=1.0)
        return answer is not None and answer[0] == 200

    async def stop(self):
        if self.supervisor:
            self.supervisor.cancel()
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


class Mesh:
    """`machines` is a list of (name, service, zone)."""

    def __init__(self, case_folder, machines, shaped_links):
        self.record = Record(case_folder)
        self.shaped_links = shaped_links
        self.folder = tempfile.mkdtemp(prefix="limpet-review-")
        self.store = Store(self.record)
        subnet = random.SystemRandom().randrange(20, 250)
        self.hosts = [f"127.{subnet}.{random.SystemRandom().randrange(1, 250)}.{i + 1}" for i in range(len(machines) + 1)]
        self.ports = self.find_ports()
        self.nodes = [Node(self, *machine, self.hosts[i + 1]) for i, machine in enumerate(machines)]
        self.sent = {}
        self.runs = []
        self.broken = []
        self.count = 0

    def find_ports(self):
        names = ("outbound", "ready", "control", "target", "metrics", "link", "link_listen", "store")
        for _ in range(200):
            base = random.SystemRandom().randrange(12000, 30000, 16)
            ports = {name: base + i for i, name in enumerate(names)}
            try:
                for host in self.hosts:
                    for port in ports.values():
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return ports
            except OSError:
                continue
        raise Unusable("no free ports")

    def services(self):
        return [
            {
                "resource_type": "services",
                "metadata": {"name": name},
                "specification": {"health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": False},
            }
            for name in sorted({node.service for node in self.nodes})
        ]

    @staticmethod
    def route(name, service, kind, timeout_ms):
        return {
            "resource_type": "routes",
            "metadata": {"name": name},
            "specification": {
                "host": "tickets.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": timeout_ms // 2,
                "priority": 1,
                "service": service,
                "attempts": 2,
            },
        }

    @staticmethod
    def limits():
        return {
            "resource_type": "limits",
            "metadata": {},
            "specification": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    def config(self, routes):
        return [*routes, *self.services(), self.limits()]

    async def start(self, version, routes):
        if not os.path.exists(PROGRAM):
            raise Unusable("target/limpetd-platform is missing; run the build of deploy/system.toml first")
        await self.store.start(self.hosts[0], self.ports["store"])
        await self.store.publish(version, self.config(routes))
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(0.3)
        for node in self.nodes:
            node.endpoint.start_beats()
        for _ in range(150):
            if all([await node.is_ready() for node in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise Unusable("not all nodes are ready")
        # The machines are in touch once the contact window has passed.
        await asyncio.sleep(CONTACT_WINDOW_S + 0.5)

    def on_run(self, endpoint, request_id, start_line, body):
        run = {"id": request_id, "at": time.monotonic(), "endpoint": endpoint, "line": start_line, "body": body}
        self.runs.append(run)
        self.record.write(f"run: {request_id} at {endpoint.instance}, {len(body)} bytes, crc {zlib.crc32(body):08x}")

    async def send(self, node, method, path, body=b"", deadline_ms=2000, timeout=None):
        """Sends one request of a client on the machine of `node`. Returns (id, status), status None without an answer."""
        self.count += 1
        request_id = f"{self.count:016x}"
        self.sent[request_id] = {"at": time.monotonic(), "node": node, "path": path, "body": body}
        crc = zlib.crc32(body)
        self.record.write(f"sent: {request_id} {method} {path} at {node.name}, {len(body)} bytes, crc {crc:08x}")
        headers = {"Host": "tickets.example", "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
        address = (node.host, self.ports["outbound"])
        answer = await exchange(address, method, path, headers, body, timeout or deadline_ms / 1000 + 1)
        status = None if answer is None else answer[0]
        self.record.write(f"answered: {request_id} {status}")
        return request_id, status

    def fail(self, rule, text):
        self.broken.append(rule)
        self.record.write(f"BROKEN {rule}: {text}")

    async def stop(self):
        for node in self.nodes:
            if node.endpoint.beats:
                node.endpoint.beats.cancel()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, machines, play, shaped_links=False, limit_s=110):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        mesh = Mesh(os.path.dirname(os.path.abspath(case_file)), machines, shaped_links)
        try:
            async with asyncio.timeout(limit_s):
                await play(mesh)
        except (Unusable, TimeoutError) as error:
            mesh.record.write(f"could not run: {error!r}")
            return 2
        finally:
            await mesh.stop()
        result = f"broken: {len(mesh.broken)}" if mesh.broken else "held"
        mesh.record.write(f"result: {result}")
        print(result)
        return 1 if mesh.broken else 0

    async def run():
        try:
            code = await main()
        except asyncio.CancelledError:
            code = 2
        except Exception:
            traceback.print_exc()
            code = 2
        sys.stdout.flush()
        # Connections that are still open need no orderly end.
        os._exit(code)

    asyncio.run(run())
