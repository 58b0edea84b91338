"""Three machines; the store refuses the node that holds the limit of a tenant while it reassigns all partitions."""

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
PER_S = 250
BURST = 0
ROUNDS = 5
REFUSED_S = 4.5
BETWEEN_S = 9.0
RATE = 270

CONFIG = make_config(
    7,
    {"r-read": {"host": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": 1500,
                "target_latency_ms": 800, "priority": 1, "service": "desk", "attempts": 2, "public": False}},
    ["desk"],
    {"ten-a": {"api_keys": ["key-of-ten-a"], "priority": 1, "requests_per_s": PER_S, "burst": BURST}})


def most_in_window(endpoints, sent):
    """The most requests that are both sent and run within one window."""
    runs = sorted((at, sent[request]) for endpoint in endpoints for at, request, _ in endpoint.arrivals)
    most, first = 0, 0
    window = BOUNDS["quota_window_s"]
    for index, (at, _) in enumerate(runs):
        while runs[first][0] < at - window:
            first += 1
        most = max(most, sum(1 for _, sent_at in runs[first : index + 1] if sent_at >= at - window))
    return most


async def renewed(store, machine):
    """Returns when the store has answered a join of the machine."""
    before = store.last_join.get(machine.name)
    while store.last_join.get(machine.name) == before:
        await asyncio.sleep(0.005)


class TimedClient(Client):
    sent = {}

    def __init__(self, record, machine):
        super().__init__(record, machine)
        self.record = self.note
        self.write = record

    def note(self, what, **fields):
        if what == "sent":
            self.sent[fields["request"]] = time.monotonic()
        self.write(what, **fields)


async def play(deployment):
    for _ in range(3):
        deployment.add_machine("a", "desk")
    endpoints = [Endpoint(deployment.record, machine, "desk", slots=50) for machine in deployment.machines]
    deployment.others += endpoints
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.start(CONFIG)
    clients = [TimedClient(deployment.record, machine) for machine in deployment.machines]
    deployment.others += clients
    await asyncio.sleep(6)
    total_s = 4 + ROUNDS * BETWEEN_S
    loads = [asyncio.create_task(client.load(RATE, total_s, "GET", "/read/1", deadline_ms=1500,
                                             headers={"Api-Key": "key-of-ten-a"})) for client in clients]
    await asyncio.sleep(4)
    for _ in range(ROUNDS):
        held = [await machine.metric("quota_requests_received") for machine in deployment.machines]
        await asyncio.sleep(1)
        after = [await machine.metric("quota_requests_received") for machine in deployment.machines]
        growth = [new - old for new, old in zip(after, held)]
        holder = deployment.machines[growth.index(max(growth))]
        if max(growth) <= 0:
            raise CannotRun("no holder of the limit was found")
        deployment.record("holder", node=holder.name)
        if TROUBLE:
            await renewed(deployment.store, holder)
            deployment.record("store_refuses", node=holder.name, seconds=REFUSED_S)
            deployment.store.refused.add(holder.name)
            deployment.store.groups["limpet-decisions"].reassign_all()
            deployment.record("partitions_reassigned")
        await asyncio.sleep(REFUSED_S)
        deployment.store.refused.clear()
        deployment.record("store_serves_all")
        await asyncio.sleep(BETWEEN_S - REFUSED_S - 1)
    await asyncio.wait(loads)
    most = most_in_window(endpoints, TimedClient.sent)
    allowed = (PER_S * BOUNDS["quota_window_s"] + BURST) * (1 + BOUNDS["quota_overshoot"]) + BOUNDS["quota_slack"]
    text = f"most requests sent and run in {BOUNDS['quota_window_s']} s: {most}, allowed: {allowed:.0f}"
    deployment.record("result", text=text)
    print(text)
    if sum(len(endpoint.arrivals) for endpoint in endpoints) < 20 * PER_S:
        raise CannotRun("too few requests ran")
    return most > allowed


run_case(FOLDER, BOUNDS, play)
