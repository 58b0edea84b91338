"""One node of the soak: the real program as a process, its target, and proxies on its links and on its path to the
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

GRACE_PERIOD_S = 6.0
RESTART_DELAY_S = 0.3
# Callers detect the end of a process within this time.
END_DETECTION_S = 0.3


# Below the ephemeral port range: an outgoing connection could otherwise take the port of a node while it restarts.
LISTEN_PORTS = range(12000, 32000)
PORT_RESERVATIONS = []


def free_port():
    # Independent of the seed, because several soaks may run at the same time.
    ports = random.SystemRandom()
    while True:
        port = ports.choice(LISTEN_PORTS)
        with socket.socket() as sock:
            reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(("127.0.0.1", port))
                # Kept open: the bound UDP port of the same number reserves the port against other soaks.
                reservation.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            PORT_RESERVATIONS.append(reservation)
            return port


class Node:
    def __init__(self, name, data_centre, service, slots, binary, folder, checker):
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.binary = binary
        self.folder = folder
        self.checker = checker
        self.target = Target(name, service, slots, checker)
        self.link_proxy = Proxy()
        self.store_proxy = Proxy()
        self.process = None
        self.stopping = False
        # End of the last planned stop; callers may detect it up to END_DETECTION_S later.
        self.stopped_at = 0.0
        self.killed_at = 0.0
        # Last time at which the process was known to be paused.
        self.paused_at = 0.0
        ports = [free_port() for _ in range(5)]
        self.outbound_port, self.readiness_port, self.announcements_port, self.listen_port, self.metrics_port = ports
        self.supervisor = None
        self.settings_path = os.path.join(folder, name + ".ini")
        self.extra_retries = 50
        self.log_event = lambda text: None

    async def start(self, store_port):
        await self.target.listen()
        self.target.announcements_port = self.announcements_port
        await self.link_proxy.start(("127.0.0.1", self.listen_port))
        await self.store_proxy.start(("127.0.0.1", store_port))
        self.write_settings()
        self.target.start()
        self.start_supervisor()

    def write_settings(self):
        with open(self.settings_path, "w", encoding="utf-8") as out:
            out.write(
                f"[node]\nname = {self.name}\ndata_centre = {self.data_centre}\nservice = {self.service}\nhost = 127.0.0.1\n\n"
                f"[edge]\noutbound = 127.0.0.1:{self.outbound_port}\nreadiness = 127.0.0.1:{self.readiness_port}\n"
                f"announcements = 127.0.0.1:{self.announcements_port}\ntarget = 127.0.0.1:{self.target.port}\n"
                f"store = 127.0.0.1:{self.store_proxy.port}\nlink_mbps = 100\nlink_port = {self.link_proxy.port}\n"
                f"link_listen_port = {self.listen_port}\nmetrics_port = {self.metrics_port}\n\n"
                f"[retries]\nratio = 0.2\nextra = {self.extra_retries}\n\n"
                f"[stop]\ngrace_period_ms = {int(GRACE_PERIOD_S * 1000)}\n"
            )

    def start_supervisor(self):
        self.supervisor = asyncio.create_task(self.supervise())
        self.supervisor.add_done_callback(self.on_supervisor_done)

    def on_supervisor_done(self, supervisor):
        if not supervisor.cancelled():
            self.checker.fail("Harness", f"{self.name} has no supervisor any more: {supervisor.exception()!r}")

    async def supervise(self):
        """Restarts the process whenever it ends, as the platform does."""
        while True:
            self.checker.on_node_started(self.name)
            with open(os.path.join(self.folder, self.name + ".log"), "ab") as out:
                self.process = await asyncio.create_subprocess_exec(
                    self.binary, stdout=out, stderr=out, env={"LIMPETGRADE_BOOT": self.settings_path}
                )
            code = await self.process.wait()
            # Expected are SIGKILL from the soak and exit code 0 after SIGTERM.
            expected = code == -signal.SIGKILL or (self.stopping and code == 0)
            if not expected:
                self.checker.fail("Fault", f"{self.name} ended unexpectedly with exit code {code}")
            if self.stopping:
                self.stopped_at = time.monotonic()
            self.stopping = False
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number):
        self.log_event(f"{self.name} receives {signal.Signals(number).name}")
        if self.process is not None and self.process.returncode is None:
            # Process.send_signal would reap a process that has just ended, and its exit code would be lost.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def is_planned_stop(self):
        """Whether a connection that closes now is closed by a planned stop, which must not cut off a request. A kill or a
        pause shortly before is no planned stop."""
        now = time.monotonic()
        planned = self.stopping or now < self.stopped_at + END_DETECTION_S
        return planned and now > max(self.killed_at, self.paused_at) + GRACE_PERIOD_S

    def kill(self):
        self.checker.record_disturbance(self.name)
        self.killed_at = time.monotonic()
        self.signal(signal.SIGKILL)

    async def pause(self, seconds):
        self.checker.record_disturbance(self.name)
        self.signal(signal.SIGSTOP)
        self.paused_at = time.monotonic() + seconds
        await asyncio.sleep(seconds)
        self.paused_at = time.monotonic()
        self.checker.record_disturbance(self.name)
        self.signal(signal.SIGCONT)

    async def terminate(self):
        """Sends SIGTERM, and SIGKILL if the process still runs at the end of the grace period."""
        process = self.process
        self.checker.record_disturbance(self.name)
        self.stopping = True
        self.signal(signal.SIGTERM)
        try:
            await http.within(GRACE_PERIOD_S, process.wait())
        except TimeoutError:
            self.checker.fail("Fault", f"{self.name} is still running {GRACE_PERIOD_S} s after SIGTERM")
            self.kill()
        self.checker.record_disturbance(self.name)

    def reload(self):
        self.extra_retries = 30 if self.extra_retries == 50 else 50
        self.write_settings()
        self.signal(signal.SIGHUP)

    async def is_ready(self):
        try:
            response = await http.exchange("127.0.0.1", self.readiness_port, "GET", "/readiness", timeout=1.0)
            return response.status == 200
        except (OSError, http.HttpError, TimeoutError):
            return False

    async def stop(self):
        self.supervisor.cancel()
        self.target.crash()
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
