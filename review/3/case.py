"""The store gives no response for 4.5 s, from shortly after a change of the configuration on. Later changes follow."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh as standin

MACHINES = [
    ("sidecar-a-1", "ticket-desk", "munster-a"),
    ("sidecar-a-2", "docket-store", "munster-a"),
    ("sidecar-b-1", "ticket-desk", "munster-b"),
    ("sidecar-b-2", "docket-store", "munster-b"),
    ("sidecar-c-1", "ticket-desk", "munster-c"),
    ("sidecar-c-2", "docket-store", "munster-c"),
]
SILENT_AFTER_S = 0.1
SILENT_S = 4.5
# From the end of the disruption to the next change: longer than the contact window.
CALM_S = 4.0
WATCH_S = 25.0


async def play(mesh):
    lots_old = mesh.route("lots", "ticket-desk", "idempotent", 1500)
    lots_new = mesh.route("lots", "docket-store", "idempotent", 1500)
    added = mesh.route("dockets", "docket-store", "idempotent", 1500)
    await mesh.start(5, [lots_old])
    await mesh.store.publish(6, mesh.config([lots_old, added]))
    await asyncio.sleep(SILENT_AFTER_S)
    if standin.TROUBLE:
        mesh.record.write("store: gives no response from here on")
        mesh.store.silent = True
    await asyncio.sleep(SILENT_S)
    mesh.store.silent = False
    mesh.record.write("store: responds again")
    await asyncio.sleep(CALM_S)
    # The route moves to another service.
    await mesh.store.publish(7, mesh.config([lots_new, added]))
    acknowledged = time.monotonic()
    while time.monotonic() < acknowledged + WATCH_S:
        await asyncio.gather(*(mesh.send(node, "GET", "/lots/1", deadline_ms=1500) for node in mesh.nodes))
        await asyncio.sleep(0.5)
    for run in mesh.runs:
        sent = mesh.sent[run["id"]]
        late = sent["at"] - acknowledged
        if late > standin.CONFIG_APPLY_S and run["endpoint"].service == "ticket-desk":
            mesh.fail(
                "CONFIG",
                f"{run['id']}, sent at {sent['node'].name} {late:.3f} s after r7 was acknowledged, "
                f"ran at {run['endpoint'].instance}, as only r6 allows",
            )


standin.run_case(__file__, MACHINES, play)
