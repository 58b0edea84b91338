"""Callers of the soak. Each sends requests on one keep-alive connection and reconnects when it is closed."""

import asyncio
import random
import time

from soak import http
from soak.checker import SentRequest

DEADLINE_MS = 1500
# A caller closes its connection if no response arrives within the deadline and this margin.
RESPONSE_MARGIN_S = 1.0
# Share of requests after which the caller disconnects without waiting for the response.
DISCONNECT_SHARE = 0.03


class Caller:
    def __init__(self, name, node, checker, routes, requests_per_s):
        self.name = name
        self.node = node
        self.checker = checker
        self.routes = routes
        self.requests_per_s = requests_per_s
        self.request_count = 0
        self.reader = None
        self.writer = None

    async def run(self):
        while True:
            await asyncio.sleep(random.expovariate(self.requests_per_s))
            try:
                await self.send_request()
            except (OSError, http.HttpError, TimeoutError):
                self.disconnect()

    def disconnect(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def connect(self):
        connection = asyncio.open_connection("127.0.0.1", self.node.outbound_port)
        self.reader, self.writer = await http.within(1.0, connection)

    async def send_request(self):
        if self.writer is None:
            await self.connect()
        self.request_count += 1
        request_id = f"{self.name}-{self.request_count}"
        method = "POST" if random.random() < 0.4 else "GET"
        path = f"/{random.choice(self.routes())}/{self.request_count}"
        self.checker.sent_requests[request_id] = SentRequest(method, path, self.node.name, time.monotonic())
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        body = b"x" * random.choice((0, 10, 3000)) if method == "POST" else b""
        self.writer.write(http.encode_request(method, path, headers, body))
        if random.random() < DISCONNECT_SHARE:
            await asyncio.sleep(0.01)
            self.disconnect()
            return
        try:
            response = await http.within(DEADLINE_MS / 1000 + RESPONSE_MARGIN_S, http.read_message(self.reader))
        except TimeoutError:
            # A subclass of OSError, so it has to come first.
            self.checker.outcomes["no response"] += 1
            if self.node.is_planned_stop():
                self.checker.on_connection_closed(request_id, planned_stop=True)
            if self.checker.is_undisturbed_since(self.node.name, self.checker.sent_requests[request_id].sent_at):
                self.checker.fail("CONFIG", f"{request_id} has no response after its timeout")
            raise
        except (OSError, http.HttpError):
            self.checker.on_connection_closed(request_id, self.node.is_planned_stop())
            raise
        if response is None:
            self.checker.on_connection_closed(request_id, self.node.is_planned_stop())
            self.disconnect()
            return
        self.checker.on_response(request_id, response)
        if not response.keep_alive:
            self.disconnect()
