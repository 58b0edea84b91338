"""Stand-in for the platform's store: keyed topics in memory, with faults."""

import asyncio
import base64
import json
import random
import struct
from urllib.parse import parse_qs, urlsplit

from soak import http


class Store:
    """`fault` is one of "", "down" (status 503), "silent" (no response), "slow" (response after SLOW_S), "lost" (calls
    take effect, and LOST_SHARE of the responses are lost) and "late" (the connection is closed without a response and
    the append takes effect LATE_S after it).

    A connection on which a response was lost stays open and returns nothing further, also after the end of the fault."""

    SLOW_S = 0.5
    LATE_S = 1.0
    LOST_SHARE = 0.5

    def __init__(self):
        self.fault = ""
        self.topics = {}
        self.first_offsets = {}
        self.changed = asyncio.Condition()
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def append_record(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def compact(self, topic):
        """Removes the history of a topic; the newest record of each key stays readable."""
        async with self.changed:
            self.first_offsets[topic] = len(self.topics.get(topic, []))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (request := await http.read_message(reader)) is not None:
                fault = self.fault
                if fault == "slow":
                    await asyncio.sleep(self.SLOW_S)
                if fault == "down":
                    writer.write(http.encode_response(503))
                    continue
                response = await self.respond(request, fault) if fault != "silent" else b""
                if response is None:
                    return
                if "silent" in (fault, self.fault) or (self.fault == "lost" and random.random() < self.LOST_SHARE):
                    while await reader.read(4096):
                        pass
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, http.HttpError):
            pass
        finally:
            writer.close()

    async def respond(self, request, fault):
        url = urlsplit(request.start_line[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/log-append":
            key_length = request.body[4]
            key = request.body[5 : 5 + key_length].decode()
            if fault == "late":
                asyncio.get_running_loop().call_later(
                    self.LATE_S,
                    lambda: asyncio.ensure_future(self.append_record(topic, key, request.body[5 + key_length :]))
                )
                return None
            await self.append_record(topic, key, request.body[5 + key_length :])
            return http.encode_response(200, body=b'{"offset":0,"end":1}')
        if url.path == "/log-newest":
            return http.encode_response(200, body=self.newest(topic))
        if url.path == "/log-read":
            return await self.read(topic, int(query["from"]), int(query.get("wait_ms", 0)) / 1000)
        return http.encode_response(404)

    def newest(self, topic):
        records = self.topics.get(topic, [])
        latest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(latest.items())
            if value
        ]
        return json.dumps({"items": items, "more": False, "end": len(records)}).encode()

    async def read(self, topic, start, wait_s):
        async with self.changed:
            if start < self.first_offsets.get(topic, 0):
                body = json.dumps({"first": self.first_offsets[topic]}).encode()
                return http.encode_response(410, body=body)
            try:
                has_records = self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
                await http.within(max(0.001, wait_s), has_records)
            except TimeoutError:
                pass
            records = self.topics.get(topic, [])[start:]
        body = struct.pack(">QQ", start + len(records), self.first_offsets.get(topic, 0))
        for key, value in records:
            name = key.encode()
            body += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
        return http.encode_response(200, body=body)
