"""One node of the soak: the real program as a process, its target, and proxies in front of its links and of the
store."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import time

from soak import http
from soak.proxy import Proxy
from soak.target import Target

GRACE_S = 6.0
RESTART_DELAY_S = 0.3
# Within this time callers notice that a process has ended.
NOTICE_S = 0.3


# Below the ports that the system gives to outgoing connections, which could take one while its node restarts.
LISTEN_PORTS = range(12000, 32000)
RESERVATIONS = []


def free_port():
    # Not from the seed: soaks may run side by side.
    ports = random.SystemRandom()
    while True:
        port = ports.choice(LISTEN_PORTS)
        with socket.socket() as sock:
            reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(("127.0.0.1", port))
                # Held on to: the UDP port of the same number keeps other soaks away.
                reservation.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            RESERVATIONS.append(reservation)
            return port


class Node:
    def __init__(self, name, service, binary, folder, record):
        self.name = name
        self.service = service
        self.binary = binary
        self.folder = folder
        self.record = record
        self.target = Target(name, service, record)
        self.links = Proxy()
        self.store = Proxy()
        self.process = None
        self.stopping = False
        # When the last planned stop ended; callers may notice the end of the process a little later.
        self.stopped_at = 0.0
        self.killed_at = 0.0
        ports = [free_port() for _ in range(5)]
        self.outbound, self.readiness, self.announcements, self.listen, self.metrics = ports
        self.keeper = None
        self.settings_path = os.path.join(folder, name + ".ini")
        self.extra_retries = 50
        self.log = lambda text: None

    async def start(self, store_port):
        await self.target.listen()
        self.target.announce_port = self.announcements
        await self.links.start(("127.0.0.1", self.listen))
        await self.store.start(("127.0.0.1", store_port))
        self.write_settings()
        self.target.begin()
        self.spawn()

    def write_settings(self):
        with open(self.settings_path, "w", encoding="utf-8") as out:
            out.write(
                f"[node]\nname = {self.name}\ndata_centre = a\nservice = {self.service}\nhost = 127.0.0.1\n\n"
                f"[edge]\noutbound = 127.0.0.1:{self.outbound}\nreadiness = 127.0.0.1:{self.readiness}\n"
                f"announcements = 127.0.0.1:{self.announcements}\ntarget = 127.0.0.1:{self.target.port}\n"
                f"store = 127.0.0.1:{self.store.port}\nlink_mbps = 100\nlink_port = {self.links.port}\n"
                f"link_listen_port = {self.listen}\nmetrics_port = {self.metrics}\n\n"
                f"[retries]\nratio = 0.2\nextra = {self.extra_retries}\n\n"
                f"[stop]\ngrace_period_ms = {int(GRACE_S * 1000)}\n"
            )

    def spawn(self):
        self.keeper = asyncio.create_task(self.keep_running())
        self.keeper.add_done_callback(self.on_keeper_done)

    def on_keeper_done(self, keeper):
        if not keeper.cancelled():
            self.record.fail("Harness", f"{self.name} is not kept running: {keeper.exception()!r}")

    async def keep_running(self):
        """Starts the process again whenever it ends, as the platform does."""
        while True:
            self.record.restarted(self.name)
            with open(os.path.join(self.folder, self.name + ".log"), "ab") as out:
                self.process = await asyncio.create_subprocess_exec(
                    self.binary, stdout=out, stderr=out, env={"LIMPETGRADE_BOOT": self.settings_path}
                )
            code = await self.process.wait()
            # A signal that the soak sent, or an orderly end after SIGTERM.
            expected = code == -signal.SIGKILL or (self.stopping and code == 0)
            if not expected:
                self.record.fail("Fault", f"{self.name} ended by itself with {code}")
            if self.stopping:
                self.stopped_at = time.monotonic()
            self.stopping = False
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number):
        self.log(f"{self.name} gets {signal.Signals(number).name}")
        if self.process is not None and self.process.returncode is None:
            # Process.send_signal would reap a process that has just ended, and its exit code with it.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def ends_as_planned(self):
        """Whether a connection that ends now ends by a planned stop, which must cut no request."""
        now = time.monotonic()
        planned = self.stopping or now < self.stopped_at + NOTICE_S
        return planned and now > self.killed_at + GRACE_S

    def kill(self):
        self.record.disturb(self.name)
        self.killed_at = time.monotonic()
        self.signal(signal.SIGKILL)

    async def pause(self, seconds):
        self.record.disturb(self.name)
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.record.disturb(self.name)
        self.signal(signal.SIGCONT)

    async def terminate(self):
        """SIGTERM, and SIGKILL if the process is still there at the end of the grace period."""
        process = self.process
        self.record.disturb(self.name)
        self.stopping = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.record.fail("Fault", f"{self.name} is still there {GRACE_S} s after SIGTERM")
            self.kill()
        self.record.disturb(self.name)

    def reload(self):
        self.extra_retries = 30 if self.extra_retries == 50 else 50
        self.write_settings()
        self.signal(signal.SIGHUP)

    async def is_ready(self):
        try:
            reply = await http.exchange("127.0.0.1", self.readiness, "GET", "/readiness", timeout=1.0)
            return reply.status == 200
        except (OSError, http.HttpError, TimeoutError):
            return False

    async def stop(self):
        self.keeper.cancel()
        self.target.crash()
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
