"""A loopback TCP proxy that delays, cuts, silences and resets connections."""

import asyncio
import socket
import struct

CHUNK_BYTES = 65536


class Proxy:
    """Forwards one address. The faults act on open and new connections:

    `delay_s` holds each chunk back; `blocked` is a set of directions ("to", "from") whose bytes wait until it is
    cleared; `silenced` connections never pass bytes again while new ones work.
    """

    def __init__(self):
        self.target = None
        self.port = 0
        self.delay_s = 0.0
        self.blocked = set()
        self.server = None
        self.connections = set()

    async def start(self, target):
        self.target = target
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        for connection in list(self.connections):
            connection.reset()

    def silence(self):
        for connection in self.connections:
            connection.silenced = True

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        connection = Connection(self, writer, far_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                connection.pump("to", reader, far_writer), connection.pump("from", far_reader, writer)
            )
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.reset()


class Connection:
    def __init__(self, proxy, near, far):
        self.proxy = proxy
        self.near = near
        self.far = far
        self.silenced = False

    def reset(self):
        abort(self.near)
        abort(self.far)

    async def pump(self, direction, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if self.proxy.delay_s > 0:
                await asyncio.sleep(self.proxy.delay_s)
            while direction in self.proxy.blocked or self.silenced:
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def abort(writer):
    """Closes with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
