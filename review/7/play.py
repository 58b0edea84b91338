"""Three machines with tenants. The store is restored from a copy; some time later, all processes are killed."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

from platform_standin import TROUBLE, CannotRun, Client, Endpoint, make_config, run_case

BOUNDS = {
    "retry_budget_ratio": 0.2, "retry_budget_extra": 62, "grace_period_s": 6, "strict_revocation": True, "revoke_ms": 5000,
    "quota_window_s": 5, "quota_overshoot": 0.1, "quota_slack": 20,
}
RECOVERY_S = 15
COPY_AGE_S = 3
AFTER_RESTORE_S = 10
MEASURED_S = 20
RATE = 10


def config(version, timeout_ms):
    return make_config(
        version,
        {"r-read": {"host": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": timeout_ms,
                    "target_latency_ms": 800, "priority": 1, "service": "desk", "attempts": 2, "public": False}},
        ["desk"],
        {"ten-a": {"api_keys": ["key-of-ten-a"], "priority": 1, "requests_per_s": 0, "burst": 0}})


async def measure(clients, seconds):
    """Returns the share of requests that are served."""
    answers = []

    async def send_all(client):
        for _ in range(seconds * RATE):
            answers.append((await client.send("GET", "/read/1", headers={"Api-Key": "key-of-ten-a"}))[0])
            await asyncio.sleep(1 / RATE)

    await asyncio.gather(*(send_all(client) for client in clients))
    return sum(status == 200 for status in answers) / len(answers)


async def play(deployment):
    record = deployment.record
    for zone in ("a", "b", "c"):
        deployment.add_machine(zone, "desk")
    endpoints = [Endpoint(record, machine, "desk") for machine in deployment.machines]
    deployment.others += endpoints
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.start(config(7, 1500))
    clients = [Client(record, machine) for machine in deployment.machines]
    deployment.others += clients
    await asyncio.sleep(COPY_AGE_S + 2)
    await deployment.store.publish(config(8, 1600))
    await asyncio.sleep(1)
    if TROUBLE:
        deployment.store.is_away = True
        record("store_away")
        await asyncio.sleep(1)
        await deployment.store.restore(COPY_AGE_S, written_again_after_s=1)
    await asyncio.sleep(AFTER_RESTORE_S)
    before = await measure(clients, 5)
    for machine in deployment.machines:
        machine.kill()
    await asyncio.gather(*(machine.restart() for machine in deployment.machines))
    back = time.monotonic()
    record("machines_back")
    await asyncio.sleep(max(0, back + RECOVERY_S - time.monotonic()))
    after = await measure(clients, MEASURED_S)
    text = f"share served before the final fault: {before:.2f}, later than {RECOVERY_S} s after it: {after:.2f}"
    record("result", text=text)
    print(text)
    if before < 0.25:
        raise CannotRun("too little was served before the final fault")
    return after < 0.25


run_case(FOLDER, BOUNDS, play)
