"""Two machines of one service. An endpoint leaves while it runs a long request, and then loses the answer."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

from platform_standin import TROUBLE, CannotRun, Client, Endpoint, make_config, run_case

BOUNDS = {"retry_budget_ratio": 0.2, "retry_budget_extra": 62, "grace_period_s": 6}
DRAIN_TIMEOUT_S = 2.5
WORK_S = 3.2
ROUNDS = 3

CONFIG = make_config(
    7,
    {"r-read": {"host": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": 5000,
                "target_latency_ms": 5000, "priority": 1, "service": "desk", "attempts": 2, "public": False}},
    ["desk"])


async def play(deployment):
    record = deployment.record
    lost = set()

    def work(request):
        request_id = request.headers["x-request-id"]
        loses = TROUBLE and request.start[1] == "/read/2" and request_id not in lost
        lost.add(request_id)
        return WORK_S, loses

    for zone in ("a", "b"):
        deployment.add_machine(zone, "desk")
    machines = deployment.machines
    endpoints = [Endpoint(record, machine, "desk", work=work) for machine in machines]
    deployment.others += endpoints
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.start(CONFIG)
    clients = [Client(record, machine) for machine in machines]
    deployment.others += clients
    await asyncio.sleep(3)
    late = 0
    for number in range(ROUNDS):
        # Requests of the same kind that leave idle connections to the endpoints.
        await asyncio.gather(*(client.send("GET", "/read/1", deadline_ms=10000) for client in clients for _ in range(2)))
        before = [len(endpoint.arrivals) for endpoint in endpoints]
        request = asyncio.create_task(clients[0].send("GET", "/read/2", deadline_ms=10000))
        await asyncio.sleep(0.3)
        running = [index for index, endpoint in enumerate(endpoints) if len(endpoint.arrivals) > before[index]]
        if len(running) != 1:
            raise CannotRun("the long request does not run")
        endpoint = endpoints[running[0]]
        acknowledged = await endpoint.drain()
        record("drain_acknowledged", instance=endpoint.instance)
        status, _, _ = await request
        arrivals = [at for at, _, _ in endpoint.arrivals if at > acknowledged + DRAIN_TIMEOUT_S]
        for at in arrivals:
            record("late_arrival", instance=endpoint.instance, after_ms=round((at - acknowledged) * 1000))
        late += len(arrivals)
        print(f"round {number}: status {status}, {len(arrivals)} requests reached the endpoint later than "
              f"{DRAIN_TIMEOUT_S} s after its drain was acknowledged")
        # The endpoint ends; the next one starts beside the same node.
        await endpoint.leave()
        await asyncio.sleep(0.5)
        replacement = Endpoint(record, endpoint.machine, "desk", work=work)
        endpoints[running[0]] = replacement
        deployment.others.append(replacement)
        await replacement.start()
        await asyncio.sleep(3)
    record("result", late_arrivals=late)
    return late > 0


run_case(FOLDER, BOUNDS, play)
