"""Targets of the soak: they execute requests, announce themselves to their node and inject faults."""

import asyncio
import hashlib
import json
import random
import time

from soak import http
from soak.proxy import abort

HEARTBEAT_S = 0.5
SERVICE_TIME_S = (0.003, 0.03)
# A target serves this long after its leave was acknowledged: longer than nodes may still send it requests.
SERVE_AFTER_LEAVE_S = (2.0, 6.0)


def response_body(request_id, path):
    """The body of the response to a request: unique, and long enough to be truncated."""
    digest = hashlib.sha256(f"{request_id} {path}".encode()).hexdigest()
    return digest.encode() * (1 + int(digest[:2], 16) % 40)


class Target:
    """The application of one node. `fault` is one of "", "slow" (20 times the service time), "lost" (executes the
    request, then resets the connection), "mute" (executes it and sends no response for 30 s, then closes), "cut" (a
    response without its last 20 bytes), "extra" (the response twice), "errors" (status 500) and "shed" (status 503
    without execution). It affects `fault_share` of the requests."""

    def __init__(self, name, service, slots, checker):
        self.name = name
        self.service = service
        self.slots = slots
        self.checker = checker
        self.fault = ""
        self.fault_share = 0.3
        self.generation = 0
        self.instance = ""
        self.sequence = 0
        self.start_time_ms = 0
        self.draining = False
        self.alive = False
        self.active_requests = 0
        self.server = None
        self.port = 0
        self.writers = set()
        self.announcements_port = 0
        self.heartbeat_task = None
        # Body of the last heartbeat with the state ready.
        self.ready_heartbeat = b""

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def start(self, reuse_name=False):
        """Starts with a new instance name, or with the previous one."""
        self.generation += 0 if reuse_name and self.generation else 1
        self.instance = f"i-{self.name}-{self.generation}"
        self.sequence = 0
        self.start_time_ms = int(time.time() * 1000)
        self.draining = False
        self.alive = True
        self.checker.on_target_started(self.instance)
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    def crash(self):
        self.alive = False
        if self.heartbeat_task:
            self.heartbeat_task.cancel()
        for writer in list(self.writers):
            abort(writer)

    async def leave(self, announce_draining):
        """Announces the leave, by the state draining or by DELETE, then serves for SERVE_AFTER_LEAVE_S and ends."""
        self.draining = True
        if self.heartbeat_task:
            self.heartbeat_task.cancel()
        if not announce_draining or await self.heartbeat():
            if announce_draining or await self.delete():
                self.checker.on_target_left(self.instance)
        await asyncio.sleep(random.uniform(*SERVE_AFTER_LEAVE_S))
        if announce_draining:
            await self.delete()
        self.crash()

    async def send_heartbeats(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "a",
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.start_time_ms,
            }
        ).encode()
        if not self.draining:
            self.ready_heartbeat = body
        return await self.announce("PUT", body)

    def capture_heartbeat(self):
        """Returns a coroutine function that delivers the last ready heartbeat of this start once more."""
        path, body = f"/instances/{self.instance}", self.ready_heartbeat
        return lambda: self.send_announcement("PUT", path, body)

    async def delete(self):
        return await self.announce("DELETE", b"")

    async def announce(self, method, body):
        return await self.send_announcement(method, f"/instances/{self.instance}", body)

    async def send_announcement(self, method, path, body):
        try:
            response = await http.exchange("127.0.0.1", self.announcements_port, method, path, body=body, timeout=1.0)
            return response.status == 200
        except (OSError, http.HttpError, TimeoutError):
            return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await http.read_message(reader)) is not None:
                if not self.alive:
                    abort(writer)
                    return
                if not await self.handle(request, writer):
                    return
        except (OSError, http.HttpError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        request_id = request.headers.get("x-request-id", "")
        path = request.start_line[1]
        if path == "/health":
            status = 503 if self.draining else 200
            writer.write(http.encode_response(status, {"X-Instance-Id": self.instance}))
            return True
        refusal = self.refusal(request)
        if refusal:
            writer.write(http.encode_response(refusal, {"X-Not-Executed": "1", "X-Request-Id": request_id}))
            return True
        self.checker.on_execution(self, request)
        fault = self.fault if random.random() < self.fault_share else ""
        self.active_requests += 1
        try:
            await asyncio.sleep(random.uniform(*SERVICE_TIME_S) * (20 if fault == "slow" else 1))
        finally:
            self.active_requests -= 1
        if fault == "lost":
            abort(writer)
            return False
        if fault == "mute":
            await asyncio.sleep(30)
            return False
        headers = {"X-Request-Id": request_id, "X-Server-Signature": self.instance}
        status = 500 if fault == "errors" else 200
        response = http.encode_response(status, headers, response_body(request_id, path))
        if fault == "cut":
            writer.write(response[: len(response) - 20])
            await writer.drain()
            return False
        writer.write(response + (response if fault == "extra" else b""))
        await writer.drain()
        return True

    def refusal(self, request):
        if request.headers.get("x-expected-instance", self.instance) != self.instance:
            return 421
        if self.active_requests >= self.slots * 2 or (self.fault == "shed" and random.random() < self.fault_share):
            return 503
        return 0
