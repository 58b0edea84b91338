"""Three machines; users of one service upload bodies far below the limit, and for some seconds more of them come at once."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

from platform_standin import TROUBLE, CannotRun, Client, Endpoint, make_config, run_case

BOUNDS = {"retry_budget_ratio": 0.2, "retry_budget_extra": 62, "grace_period_s": 6}
BODY = b"x" * 3_200_000
# Uploads that start together, every PERIOD_S.
USERS = 8
BURST_X = 2.5
BURST_S = 6
PERIOD_S = 2
CALM_S = 14
ROUNDS = 2
READERS = 10

CONFIG = make_config(
    7,
    {"r-book": {"host": "desk.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 5000,
                "target_latency_ms": 2500, "priority": 1, "service": "desk", "attempts": 2, "public": False},
     "r-read": {"host": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": 5000,
                "target_latency_ms": 2500, "priority": 0, "service": "files", "attempts": 2, "public": False}},
    ["desk", "files"])


class ReaderClient(Client):
    """Reads one document after the other on one kept connection; counts requests that ran and got no answer."""

    cut = []

    async def read_forever(self):
        while True:
            before = time.monotonic()
            kept = bool(self.idle)
            status, _, _ = await self.send("GET", "/read/1", deadline_ms=5000)
            if status == 0 and kept and time.monotonic() - before < 4.5:
                self.cut.append(self.last_request)
                await asyncio.sleep(0.5)


async def play(deployment):
    record = deployment.record
    machines = [deployment.add_machine("a", "desk")] + [deployment.add_machine("a", "files") for _ in range(3)]
    endpoints = [Endpoint(record, machine, machine.service, work=lambda request: (0.2, False)) for machine in machines]
    deployment.others += endpoints
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.start(CONFIG)
    uploaders = [Client(record, machine) for machine in machines[1:]]
    readers = [ReaderClient(record, machines[0]) for _ in range(READERS)]
    deployment.others += uploaders + readers
    await asyncio.sleep(3)
    tasks = [asyncio.create_task(machine.enforce_memory()) for machine in machines]
    tasks += [asyncio.create_task(reader.read_forever()) for reader in readers]
    sent = {}
    uploads = set()
    start = time.monotonic()
    length = ROUNDS * (CALM_S + BURST_S) + 4
    while (elapsed := time.monotonic() - start) < length:
        burst = TROUBLE and elapsed < ROUNDS * (CALM_S + BURST_S) and elapsed % (CALM_S + BURST_S) >= CALM_S
        users = round(USERS * (BURST_X if burst else 1))
        record("uploads_start", users=users, burst=burst, resident_mb=round(machines[0].resident_mb()))
        for number in range(users):
            client = uploaders[number % len(uploaders)]
            upload = asyncio.create_task(client.send("POST", "/book/1", deadline_ms=5000, body=BODY))
            uploads.add(upload)
            upload.add_done_callback(lambda done: sent.setdefault(done.result()[0], []).append(1))
        await asyncio.sleep(PERIOD_S - (time.monotonic() - start) % PERIOD_S)
    await asyncio.wait(uploads)
    for task in tasks:
        task.cancel()
    ran = {request for endpoint in endpoints for _, request, _ in endpoint.arrivals}
    cut = [request for request in ReaderClient.cut if request in ran]
    kills = sum(machine.memory_kills for machine in machines)
    text = (f"uploads by status: { {status: len(all_of) for status, all_of in sent.items()} }; peak memory in MiB: "
            f"{[round(machine.peak_mb) for machine in machines]}; processes over their memory: {kills}; requests on kept "
            f"connections that ran at a sound endpoint and whose connection ended without an answer: {len(cut)}")
    record("result", text=text)
    print(text)
    if not sent.get(200):
        raise CannotRun("no upload was served")
    return len(cut) > 3


run_case(FOLDER, BOUNDS, play)
