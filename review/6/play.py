"""Two machines. One gets SIGTERM while requests of its clients wait for the endpoint beside the other one."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

from platform_standin import TROUBLE, CannotRun, Client, Endpoint, make_config, run_case

GRACE_S = 6
BOUNDS = {"retry_budget_ratio": 0.2, "retry_budget_extra": 62, "grace_period_s": GRACE_S}
TIMEOUT_S = 5
LOSS_SLACK_S = 0.2
WORK_S = 0.25
SLOTS = 2
REQUESTS = 36
ROUNDS = 3

CONFIG = make_config(
    7,
    {"r-read": {"host": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": TIMEOUT_S * 1000,
                "target_latency_ms": TIMEOUT_S * 1000, "priority": 1, "service": "desk", "attempts": 2, "public": False}},
    ["desk", "files"])


class TimedClient(Client):
    """One request on a connection of its own, with the times of its sending and of the end of its connection."""

    async def run(self):
        self.sent = time.monotonic()
        self.status, _, _ = await self.send("GET", "/read/1", deadline_ms=10000)
        self.ended = time.monotonic()


async def stop(machine):
    """Sends SIGTERM, and SIGKILL after the grace period. Returns a task that ends with the process."""
    machine.deployment.record("sigterm", node=machine.name)
    machine.process.send_signal(signal.SIGTERM)

    async def end():
        try:
            async with asyncio.timeout(GRACE_S):
                await machine.process.wait()
        except TimeoutError:
            machine.kill()
        machine.deployment.record("process_ended", node=machine.name)

    return asyncio.create_task(end())


async def play(deployment):
    record = deployment.record
    desk = deployment.add_machine("a", "desk")
    stopped = deployment.add_machine("a", "files")
    endpoints = [Endpoint(record, desk, "desk", slots=SLOTS, work=lambda request: (WORK_S, False)),
                 Endpoint(record, stopped, "files")]
    deployment.others += endpoints
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.start(CONFIG)
    await asyncio.sleep(3)
    # The first answers tell the nodes how long a request takes.
    first = TimedClient(record, stopped)
    for _ in range(8):
        await first.run()
    lost = 0
    for number in range(ROUNDS):
        # The usual traffic of this machine: the same requests come together from time to time.
        usual = [TimedClient(record, stopped) for _ in range(REQUESTS)]
        await asyncio.gather(*(client.run() for client in usual))
        await asyncio.sleep(3.5)
        end = await stop(stopped) if TROUBLE else None
        asked = time.monotonic()
        # The platform asks once a second; after two misses the clients get no new work.
        misses = 0
        for delay in (0.8, 1.8):
            await asyncio.sleep(asked + delay - time.monotonic())
            if delay == 1.8:
                clients = [TimedClient(record, stopped) for _ in range(REQUESTS)]
                runs = [asyncio.create_task(client.run()) for client in clients]
            misses += not await stopped.is_ready()
        record("readiness", misses=misses)
        await asyncio.wait(runs)
        ran = {request: at for at, request, _ in endpoints[0].arrivals}
        cut = [client for client in clients if client.status == 0
               and client.ended - client.sent < TIMEOUT_S - 0.1 and client.ended - client.sent > LOSS_SLACK_S]
        # Requests at which the endpoint was still at work in the last sixth of the grace period are not counted.
        waiting = [client for client in cut if client.last_request not in ran]
        for client in waiting:
            record("cut_while_waiting", request=client.last_request, after_ms=round((client.ended - client.sent) * 1000))
        lost += len(waiting)
        statuses = {}
        for client in clients:
            statuses[client.status] = statuses.get(client.status, 0) + 1
        served = sum(client.status == 200 for client in usual)
        print(f"round {number}: {served} of {REQUESTS} usual requests served; around the stop {statuses}; connections that ended without an answer: {len(cut)}, of requests that had not "
              f"been passed on to an endpoint: {len(waiting)}")
        for client in clients + usual + [first]:
            client.close()
        if end:
            await end
            await stopped.restart()
            await asyncio.sleep(3)
    record("result", lost=lost)
    return lost > 0


run_case(FOLDER, BOUNDS, play)
