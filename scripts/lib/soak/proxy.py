"""A loopback TCP proxy that delays, blocks, stalls and resets connections."""

import asyncio
import socket
import struct

CHUNK_BYTES = 65536
# Time between the release of the two directions of a held connection.
RELEASE_INTERVAL_S = 0.5


class Proxy:
    """Forwards connections to one address.

    `delay_s` delays each chunk. `blocked` is a set of directions ("to" and "from" the upstream) in which nothing is
    forwarded until it is cleared. Both act on open and new connections. A stalled connection never forwards anything
    again, while new connections work. Connections that are held for a while deliver everything afterwards, their end
    included, also if one side has closed them meanwhile.
    """

    def __init__(self):
        self.upstream = None
        self.port = 0
        self.delay_s = 0.0
        self.blocked = set()
        self.server = None
        self.connections = set()

    async def start(self, upstream):
        self.upstream = upstream
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        for connection in list(self.connections):
            connection.reset()

    def stall(self):
        for connection in self.connections:
            connection.stalled = True

    async def hold(self, seconds):
        """Holds what is sent on the connections that are open now; new connections work."""
        connections = list(self.connections)
        for connection in connections:
            connection.held = {"to", "from"}
        await asyncio.sleep(seconds)
        for connection in connections:
            connection.held = {"from"}
        # A side that has closed its connection would reset it, and what it had sent would be lost.
        await asyncio.sleep(RELEASE_INTERVAL_S)
        for connection in connections:
            connection.held = set()

    async def serve(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            abort(writer)
            return
        connection = Connection(self, writer, upstream_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                connection.forward("to", reader, upstream_writer), connection.forward("from", upstream_reader, writer)
            )
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.reset()


class Connection:
    def __init__(self, proxy, downstream, upstream):
        self.proxy = proxy
        self.downstream = downstream
        self.upstream = upstream
        self.stalled = False
        # Directions in which nothing is forwarded for now.
        self.held = set()

    def reset(self):
        abort(self.downstream)
        abort(self.upstream)

    async def forward(self, direction, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if self.proxy.delay_s > 0:
                await asyncio.sleep(self.proxy.delay_s)
            while direction in self.proxy.blocked or direction in self.held or self.stalled:
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def abort(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
