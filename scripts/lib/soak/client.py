"""Callers of the soak: they keep using open connections until these end."""

import asyncio
import random
import time

from soak import http
from soak.record import Sent

DEADLINE_MS = 1500
# How long a caller waits beyond its own deadline before it gives up the connection.
PATIENCE_S = 1.0
GIVE_UP_SHARE = 0.03


class Client:
    def __init__(self, name, node, record, routes, rate):
        self.name = name
        self.node = node
        self.record = record
        self.routes = routes
        self.rate = rate
        self.count = 0
        self.reader = None
        self.writer = None

    async def run(self):
        while True:
            await asyncio.sleep(random.expovariate(self.rate))
            try:
                await self.request()
            except (OSError, http.HttpError, TimeoutError):
                self.drop()

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def connect(self):
        connection = asyncio.open_connection("127.0.0.1", self.node.outbound)
        self.reader, self.writer = await asyncio.wait_for(connection, 1.0)

    async def request(self):
        if self.writer is None:
            await self.connect()
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        method = "POST" if random.random() < 0.4 else "GET"
        path = f"/{random.choice(self.routes())}/{self.count}"
        self.record.sent[request_id] = Sent(method, path, self.node.name, time.monotonic())
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        body = b"x" * random.choice((0, 10, 3000)) if method == "POST" else b""
        self.writer.write(http.encode_request(method, path, headers, body))
        if random.random() < GIVE_UP_SHARE:
            await asyncio.sleep(0.01)
            self.drop()
            return
        try:
            response = await asyncio.wait_for(
                http.read_message(self.reader), DEADLINE_MS / 1000 + PATIENCE_S
            )
        except (OSError, http.HttpError):
            self.record.closed(request_id, self.node.ends_as_planned())
            raise
        except TimeoutError:
            self.record.outcomes["no answer"] += 1
            if self.record.in_touch(self.node.name, self.record.sent[request_id].at):
                self.record.fail("CONFIG", f"{request_id} has no answer after its time-out")
            raise
        if response is None:
            self.record.closed(request_id, self.node.ends_as_planned())
            self.drop()
            return
        self.record.answered(request_id, response)
        if not response.keep_alive:
            self.drop()
