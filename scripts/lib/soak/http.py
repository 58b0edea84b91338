"""A small HTTP/1.1 codec for asyncio streams: just what clients, targets and the store of the soak need."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65536


class HttpError(Exception):
    """Bytes that are no complete message."""


@dataclass
class Message:
    """A request or a response; `start` holds the words of the first line."""

    start: list
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self):
        return int(self.start[1])

    @property
    def keep_alive(self):
        return self.headers.get("connection", "keep-alive").lower() != "close"


async def read_message(reader):
    """Reads one message with a Content-Length or without a body. Returns None at a clean end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise HttpError("connection ended inside a head") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise HttpError("head too large") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), headers)
    if len(message.start) < 2:
        raise HttpError(f"malformed first line {lines[0]!r}")
    length = int(headers.get("content-length", 0))
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise HttpError("connection ended inside a body") from error
    return message


def encode_request(method, path, headers, body=b""):
    fields = {"Host": "soak.example", "Content-Length": str(len(body)), **headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def encode_response(status, headers=None, body=b""):
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


async def exchange(host, port, method, path, headers=None, body=b"", timeout=2.0):
    """One request on a connection of its own. Raises OSError, HttpError or TimeoutError."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode_request(method, path, {"Connection": "close", **(headers or {})}, body))
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            raise HttpError("no response")
        return message

    return await asyncio.wait_for(run(), timeout)
