"""An endpoint leaves and goes on serving. Its node is killed and starts again; a heartbeat from before arrives late."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh as standin

MACHINES = [
    ("sidecar-a-1", "ticket-desk", "munster-a"),
    ("sidecar-b-1", "ticket-desk", "munster-b"),
    ("sidecar-c-1", "docket-store", "munster-c"),
]
CLIENTS = 4
# Time from the answer to the leave until the kill, and from the sending of the late heartbeat to its arrival.
KILL_AFTER_S = 0.3
BEAT_DELAY_S = 2.5
SERVES_ON_S = 10.0


async def look_up(mesh, node):
    while True:
        await mesh.send(node, "GET", "/lots/1", deadline_ms=1500)
        await asyncio.sleep(0.1)


async def play(mesh):
    front, leaving, _ = mesh.nodes
    await mesh.start(5, [mesh.route("lots", "ticket-desk", "idempotent", 1500)])
    clients = [asyncio.create_task(look_up(mesh, node)) for node in (front, mesh.nodes[2]) for _ in range(CLIENTS)]
    await asyncio.sleep(2)
    endpoint = leaving.endpoint
    # The platform delays this heartbeat; the endpoint has sent it before it leaves.
    late_beat = endpoint.make_beat()
    sent_at = time.monotonic()
    left_at = await endpoint.leave()
    if left_at is None:
        raise standin.Unusable("the leave was not acknowledged")
    await asyncio.sleep(KILL_AFTER_S)
    if standin.TROUBLE:
        leaving.signal(signal.SIGKILL)
    await asyncio.sleep(sent_at + BEAT_DELAY_S - time.monotonic())
    acknowledged = await endpoint.announce("PUT", late_beat)
    mesh.record.write(f"endpoint {endpoint.instance}: a heartbeat sent before the leave arrives, answered: {acknowledged}")
    await asyncio.sleep(left_at + SERVES_ON_S - time.monotonic())
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    # The machine of the endpoint is in touch again once the contact window has passed since its start.
    bound = max(left_at + standin.DRAIN_TIMEOUT_S, leaving.started_at + standin.CONTACT_WINDOW_S)
    for run in mesh.runs:
        sent = mesh.sent[run["id"]]
        if run["endpoint"] is endpoint and sent["at"] > bound:
            mesh.fail(
                "DRAIN",
                f"{run['id']}, sent at {sent['node'].name}, ran at {endpoint.instance} "
                f"{run['at'] - left_at:.3f} s after its leave was acknowledged",
            )


standin.run_case(__file__, MACHINES, play)
