"""Minimal HTTP/1.1 codec for asyncio streams, as far as callers, targets and the store of the soak need it."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65536


class HttpError(Exception):
    """The bytes received are not a complete HTTP message."""


@dataclass
class Message:
    """A request or a response; `start_line` holds the fields of the start line."""

    start_line: list
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self):
        return int(self.start_line[1])

    @property
    def keep_alive(self):
        return self.headers.get("connection", "keep-alive").lower() != "close"


async def within(seconds, awaitable):
    """Awaits with a time limit; raises TimeoutError. asyncio.wait_for of Python 3.11 loses a cancellation that arrives
    in the same iteration of the event loop as the result, and the cancelled task then runs on."""
    async with asyncio.timeout(seconds):
        return await awaitable


async def read_message(reader):
    """Reads one message with a Content-Length or without a body. Returns None if the connection is closed before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise HttpError("connection closed within the message head") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise HttpError("message head too large") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), headers)
    if len(message.start_line) < 2:
        raise HttpError(f"malformed start line {lines[0]!r}")
    length = int(headers.get("content-length", 0))
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise HttpError("connection closed within the message body") from error
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
    """Sends one request on a new connection and returns the response. Raises OSError, HttpError or TimeoutError."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode_request(method, path, {"Connection": "close", **(headers or {})}, body))
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            raise HttpError("connection closed without a response")
        return message

    return await within(timeout, run())
