"""Stand-ins of the platform's store, of endpoints and of clients, and the start of real nodes, all on loopback.

Every address is in 127.0.0.0/8. One process runs all stand-ins in one event loop; the nodes are processes of their own,
started with the command of deploy/system.toml and settings rendered from deploy/settings.ini.template."""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought about; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.out.write(f"{self.now() * 1000:10.1f} {what} {text}\n")

    def close(self):
        self.out.close()


# --- HTTP/1.1 -----------------------------------------------------------------------------------------------------


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start[1])


async def read_message(reader, first=b""):
    """Returns None at the end of the connection; raises OSError or ValueError if the message is not complete. `first` holds
    bytes that were read before."""
    try:
        head = first + await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if first or error.partial:
            raise ValueError("connection ended within a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise ValueError("connection ended within a body") from error
    return Message(lines[0].split(" ", 2), headers, body)


def encode_request(method, path, headers, body=b""):
    fields = dict(headers)
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode() + body


def encode_response(status, headers=None, body=b""):
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    return (f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode() + body


async def exchange(address, method, path, headers=None, body=b"", timeout=1.0):
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode_request(method, path, {"Host": "platform", "Connection": "close", **(headers or {})}, body))
            message = await read_message(reader)
        finally:
            writer.close()
    if message is None:
        raise ValueError("no answer")
    return message


class Server:
    """An HTTP/1.1 server on one address. `handle(request, writer)` answers and returns whether the connection goes on. A
    connection that is idle for `idle_s` is closed."""

    def __init__(self, address, handle, idle_s=None):
        self.address = address
        self.handle = handle
        self.idle_s = idle_s
        self.writers = set()
        self.server = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await self.read(reader)) is not None:
                if not await self.handle(request, writer):
                    return
                await writer.drain()
        except (OSError, ValueError, TimeoutError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def read(self, reader):
        async with asyncio.timeout(self.idle_s) as idle:
            first = await reader.read(1)
            idle.reschedule(None)
            return await read_message(reader, first) if first else None

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# --- The platform's store -------------------------------------------------------------------------------------------


class Group:
    """A group of PROTOCOL.md: partitions are distributed evenly. A partition that its member is no longer shown goes to
    another one when the member joins with that generation or a later one, leaves, or is silent for its ttl."""

    def __init__(self, partitions):
        self.generation = 0
        self.members = {}
        self.owner = [None] * partitions
        self.target = [None] * partitions

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.owner = [None] * len(self.owner)
            self.target = list(self.owner)
            return
        share = -(-len(self.owner) // len(names))
        counts = dict.fromkeys(names, 0)
        for part, owner in enumerate(self.owner):
            keeps = owner in counts and counts[owner] < share
            self.target[part] = owner if keeps else None
            if keeps:
                counts[owner] += 1
        for part in range(len(self.target)):
            if self.target[part] is None:
                self.target[part] = min(names, key=lambda name: counts[name])
                counts[self.target[part]] += 1
            if self.owner[part] not in self.members:
                self.owner[part] = self.target[part]

    def reassign_all(self):
        """All partitions are reassigned at once without any request."""
        names = sorted(self.members)
        self.generation += 1
        after = {name: names[(index + 1) % len(names)] for index, name in enumerate(names)}
        self.owner = [after.get(owner, owner) for owner in self.owner]
        self.target = list(self.owner)

    def expire(self, now):
        gone = [name for name, (last, ttl) in self.members.items() if now - last > ttl]
        for name in gone:
            del self.members[name]
        if gone:
            self.deal()

    def join(self, now, member, ttl, generation):
        self.expire(now)
        is_new = member not in self.members
        self.members[member] = (now, ttl)
        if is_new:
            self.deal()
        elif generation >= self.generation:
            for part, owner in enumerate(self.owner):
                if owner == member:
                    self.owner[part] = self.target[part]
        return [part for part, owner in enumerate(self.owner) if owner == member == self.target[part]]

    def leave(self, member):
        if self.members.pop(member, None):
            self.deal()


class Store:
    """Keyed topics and groups. Each machine has an address of its own at which it reaches the store, so that the store can
    refuse single machines."""

    def __init__(self, record, partitions=32):
        self.record = record
        self.partitions = partitions
        self.topics = {}
        self.groups = {}
        self.changed = asyncio.Condition()
        self.servers = []
        self.refused = set()
        self.is_away = False
        self.era = 1
        self.last_join = {}

    async def open_for(self, machine, address):
        server = Server(address, lambda request, writer: self.handle(machine, request, writer))
        await server.start()
        self.servers.append(server)

    async def append(self, topic, key, value):
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value, time.monotonic()))
            self.changed.notify_all()
            return len(records)

    async def publish(self, config):
        await self.append("keyed.op", "config", json.dumps(config).encode())
        self.record("config_acknowledged", version=config["version"])

    async def restore(self, age_s, written_again_after_s):
        """Comes back from a copy that is `age_s` old. What the operator wrote since is written again."""
        oldest_lost = time.monotonic() - age_s
        async with self.changed:
            lost = [record for record in self.topics.get("keyed.op", []) if record[2] > oldest_lost]
            for topic, records in self.topics.items():
                self.topics[topic] = [record for record in records if record[2] <= oldest_lost]
            self.groups = {}
            self.era += 1
            self.changed.notify_all()
        self.is_away = False
        self.record("store_restored", era=self.era, operator_records_lost=len(lost))
        await asyncio.sleep(written_again_after_s)
        for key, value, _ in lost:
            await self.append("keyed.op", key, value)
        self.record("operator_wrote_again", records=len(lost))

    async def handle(self, machine, request, writer):
        if machine in self.refused or self.is_away:
            writer.write(encode_response(503))
            return True
        response = await self.respond(machine, request)
        writer.write(response)
        return True

    async def respond(self, machine, request):
        url = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        era = {"Store-Era": str(self.era)}
        if url.path == "/log-append":
            body, end = request.body, 0
            while body:
                length = struct.unpack(">I", body[:4])[0]
                data, body = body[4 : 4 + length], body[4 + length :]
                size = data[0]
                end = await self.append(topic, data[1 : 1 + size].decode(), data[1 + size :])
            return encode_response(200, era, json.dumps({"offset": end - 1, "end": end}).encode())
        if url.path == "/log-newest":
            records = self.topics.get(topic, [])
            newest = {key: (offset, value) for offset, (key, value, _) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            return encode_response(200, era, json.dumps({"items": items, "more": False, "end": len(records)}).encode())
        if url.path == "/log-read":
            start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
            async with self.changed:
                if start > len(self.topics.get(topic, [])):
                    return encode_response(410, era, b'{"first":0}')
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.001, wait_s)):
                        await self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
                records = self.topics.get(topic, [])[start:]
            body = struct.pack(">QQ", start + len(records), 0)
            for key, value, _ in records:
                body += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key.encode() + value
            return encode_response(200, era, body)
        if url.path == "/log-join":
            call = json.loads(request.body)
            group = self.groups.setdefault(call["group"], Group(self.partitions))
            parts = group.join(time.monotonic(), call["member"], call["ttl_ms"] / 1000, call["generation"])
            self.last_join[machine] = time.monotonic()
            self.record("join", member=call["member"], sent_generation=call["generation"], generation=group.generation,
                        parts=len(parts))
            rows = [[call["topics"][0], part, 0] for part in parts]
            reply = {"generation": group.generation, "ttl_ms": call["ttl_ms"], "parts": rows}
            return encode_response(200, era, json.dumps(reply).encode())
        if url.path == "/log-leave":
            call = json.loads(request.body)
            self.groups.setdefault(call["group"], Group(self.partitions)).leave(call["member"])
            return encode_response(200, era, b"{}")
        return encode_response(404, era)

    def close(self):
        for server in self.servers:
            server.close()


# --- Endpoints ------------------------------------------------------------------------------------------------------


class Endpoint:
    """The application endpoint of one machine. `work(request)` returns the seconds of work, and whether the answer is lost:
    the connection then ends without one."""

    def __init__(self, record, machine, service, slots=12, work=None):
        self.record = record
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work = work or (lambda request: (0.005, False))
        self.instance = f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.leaving = False
        self.arrivals = []
        self.server = Server(machine.application, self.handle, idle_s=10)
        self.beats = None

    async def start(self):
        await self.server.start()
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        """Returns whether the beat was acknowledged within a second."""
        self.sequence += 1
        state = "draining" if self.leaving else "ready"
        body = {
            "service": self.service, "address": self.machine.application, "zone": self.machine.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
        }
        try:
            answer = await exchange(self.machine.control, "PUT", f"/instances/{self.instance}",
                                    {"Content-Type": "application/json"}, json.dumps(body).encode())
        except (OSError, ValueError, TimeoutError):
            return False
        acknowledged = 200 <= answer.status < 300
        if state == "draining":
            self.record("drain_reported", instance=self.instance, acknowledged=acknowledged)
        return acknowledged

    async def drain(self, seconds=10):
        """Reports `draining` until it is acknowledged; returns the time of the acknowledgement."""
        self.leaving = True
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.beat():
                return time.monotonic()
            await asyncio.sleep(0.1)
        raise CannotRun("the drain was not acknowledged")

    async def leave(self):
        """Sends the leave and ends."""
        self.leaving = True
        self.beats.cancel()
        with contextlib.suppress(OSError, ValueError, TimeoutError):
            await exchange(self.machine.control, "DELETE", f"/instances/{self.instance}")
        self.record("leave_sent", instance=self.instance)
        self.close()

    async def handle(self, request, writer):
        path = request.start[1]
        if path == "/health":
            status = 503 if self.leaving else 200
            writer.write(encode_response(status, {"X-Instance-Id": self.instance}))
            self.record("health", instance=self.instance, status=status)
            return True
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if request.headers.get("x-expected-instance", self.instance) != self.instance:
            writer.write(encode_response(421, {**echo, "X-Instance-Id": self.instance}))
            return True
        if self.running >= self.slots:
            writer.write(encode_response(503, {**echo, "X-Not-Executed": "1"}))
            return True
        self.arrivals.append((time.monotonic(), request_id, request.headers.get("x-tenant", "")))
        self.record("runs", instance=self.instance, request=request_id, tenant=request.headers.get("x-tenant", "-"),
                    deadline_ms=request.headers.get("x-deadline-ms", "-"))
        seconds, lost = self.work(request)
        self.running += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
        if lost:
            self.record("answer_lost", instance=self.instance, request=request_id)
            return False
        writer.write(encode_response(200, {**echo, "X-Server-Signature": f"{self.instance}.{request_id}"},
                                     f"body of {request_id}".encode()))
        self.record("answered", instance=self.instance, request=request_id)
        return True

    def close(self):
        if self.beats:
            self.beats.cancel()
        self.server.close()


# --- Clients --------------------------------------------------------------------------------------------------------


class Client:
    """A client of one machine that keeps connections open; one request at a time on each."""

    def __init__(self, record, machine):
        self.record = record
        self.machine = machine
        self.idle = []
        self.last_request = ""

    async def send(self, method, path, host="desk.example", deadline_ms=2000, headers=None, body=b""):
        """Returns (status, headers, body), or (0, {}, b"") if the connection ended without an answer."""
        request_id = self.last_request = f"{random.randrange(1 << 64):016x}"
        fields = {"Host": host, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), **(headers or {})}
        self.record("sent", machine=self.machine.name, request=request_id, path=path)
        status, answer_headers, answer = 0, {}, b""
        reader, writer = None, None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.idle:
                    reader, writer = self.idle.pop()
                else:
                    ip, port = self.machine.outbound.rsplit(":", 1)
                    reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(encode_request(method, path, fields, body))
                message = await read_message(reader)
            if message is not None:
                status, answer_headers, answer = message.status, message.headers, message.body
                if answer_headers.get("connection", "").lower() != "close":
                    self.idle.append((reader, writer))
                    writer = None
        except (OSError, ValueError, TimeoutError) as error:
            self.record("client_error", request=request_id, error=type(error).__name__)
        finally:
            if writer is not None:
                writer.close()
        self.record("client_got", machine=self.machine.name, request=request_id, status=status)
        return status, answer_headers, answer

    async def load(self, per_s, seconds, method, path, **options):
        """Sends requests at a fixed rate, whether earlier ones were answered or not."""
        tasks = set()
        start = time.monotonic()
        for number in range(int(per_s * seconds)):
            delay = start + number / per_s - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            task = asyncio.create_task(self.send(method, path, **options))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    def close(self):
        for _, writer in self.idle:
            writer.close()


# --- Nodes ----------------------------------------------------------------------------------------------------------


def render(template, fields):
    """Renders the part of the template language of DEPLOY.md that deploy/settings.ini.template uses."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        value = find(match[1])
        if value is None or value is False:
            return ""
        return match[2].replace("{{.}}", str(value).lower() if isinstance(value, bool) else str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: "" if find(match[1]) is None else str(find(match[1])), text)


def is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Machine:
    """Addresses of one machine, and the node's process on it."""

    def __init__(self, deployment, index, zone, service):
        self.deployment = deployment
        self.name = f"sidecar-{zone}-{index}"
        self.zone = zone
        self.service = service
        self.ip = f"{deployment.network}.{index + 10}"
        port = deployment.port
        self.ready, self.outbound, self.control, self.application = (f"{self.ip}:{port + i}" for i in range(4))
        self.store = f"{deployment.network}.1:{port + 20 + index}"
        self.settings = os.path.join(deployment.folder, f"{self.name}.ini")
        self.process = None
        self.log = None

    def write_settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
            "application_address": self.application,
            "listen_addresses": {"outbound": self.outbound, "ready": self.ready, "control": self.control},
            "platform": {"address": self.store, "parts": 32},
            "limits": {"link_mbps": 1000.0, "memory_mb": 260},
            "internal_port_range": [self.deployment.port + 10, self.deployment.port + 25],
            "bounds": self.deployment.bounds,
        }
        with open(os.path.join(ROOT, self.deployment.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)

    async def start(self):
        self.write_settings()
        self.log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.deployment.role["run"].split(), cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "LIMPETGRADE_BOOT": self.settings})
        self.deployment.record("node_started", node=self.name)

    def kill(self):
        self.deployment.record("node_killed", node=self.name)
        self.process.send_signal(signal.SIGKILL)

    async def restart(self, delay_s=0.3):
        await self.process.wait()
        await asyncio.sleep(delay_s)
        await self.start()

    async def is_ready(self):
        try:
            return (await exchange(self.ready, "GET", "/readiness")).status == 200
        except (OSError, ValueError, TimeoutError):
            return False

    async def metric(self, name):
        answer = await exchange(f"{self.ip}:9464", "GET", "/metrics")
        for line in answer.body.decode().splitlines():
            found = re.match(rf"(?:\w*_)?{name}(?:_total)? ([-\d.e+]+)$", line)
            if found:
                return float(found[1])
        return 0.0

    async def stop(self):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if self.log:
            self.log.close()


class Deployment:
    """Some machines, the store and the record. `bounds` are those of the settings."""

    def __init__(self, folder, bounds):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.role = next(iter(roles.values()))
        if not os.access(os.path.join(ROOT, self.role["run"].split()[0]), os.X_OK):
            raise CannotRun(f"{self.role['run']} is not built")
        self.bounds = bounds
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network, self.port = self.find_ports()
        self.machines = []
        self.store = Store(self.record)
        self.others = []  # endpoints and clients

    @staticmethod
    def find_ports():
        """Returns a loopback network and the first of 30 ports that are free on its addresses, as is that of the metrics."""
        generator = random.SystemRandom()
        for _ in range(100):
            network = f"127.{generator.randrange(20, 250)}.{generator.randrange(1, 250)}"
            port = generator.randrange(12000, 31000)
            hosts = [f"{network}.{host}" for host in (1, *range(10, 20))]
            if all(is_free(host, port + offset) for host in hosts for offset in range(30)) and all(
                    is_free(host, 9464) for host in hosts):
                return network, port
        raise CannotRun("no free ports")

    def add_machine(self, zone, service):
        machine = Machine(self, len(self.machines), zone, service)
        self.machines.append(machine)
        return machine

    async def start(self, config):
        for machine in self.machines:
            await self.store.open_for(machine.name, machine.store)
        await self.store.publish(config)
        for machine in self.machines:
            await machine.start()
        end = time.monotonic() + 20
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > end:
                raise CannotRun("the nodes are not ready")
            await asyncio.sleep(0.2)

    async def stop(self):
        for machine in self.machines:
            await machine.stop()
        for other in self.others:
            other.close()
        self.store.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(version, routes, services, tenants=()):
    """`routes`: specifications by name, `services`: names, `tenants`: specifications by name."""
    resources = [{"resource_type": "routes", "metadata": {"name": name}, "specification": spec} for name, spec in routes.items()]
    for name in services:
        spec = {"health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": False}
        resources.append({"resource_type": "services", "metadata": {"name": name}, "specification": spec})
    for name, spec in dict(tenants).items():
        resources.append({"resource_type": "tenants", "metadata": {"name": name}, "specification": spec})
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    resources.append({"resource_type": "limits", "metadata": {}, "specification": limits})
    return {"version": f"r{version}", "resources": resources}


def run_case(folder, bounds, play, limit_s=115):
    """`play(deployment)` returns whether the rule was broken. Exits with 1 if so, 0 if not, 2 if the case could not run."""

    async def main():
        deployment = Deployment(folder, bounds)
        try:
            async with asyncio.timeout(limit_s):
                return await play(deployment)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(main())
    except Exception as error:  # An error of the script itself must not look like a broken rule.
        print("could not run:", type(error).__name__, error)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
