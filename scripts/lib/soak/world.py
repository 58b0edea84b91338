"""The deployment that one seed of the soak runs: store, nodes, targets, callers and the operator."""

import asyncio
import json
import os
import random

from soak.client import Client
from soak.faults import FAULTS
from soak.node import Node
from soak.record import IDEMPOTENT_ROUTE, ROUTES_KEPT, Record, clock
from soak.store import Store

SERVICES = ("alpha", "beta")
CALLERS_PER_NODE = 3
REQUESTS_PER_S = 6.0
# Longest pause between two faults; several overlap.
FAULT_GAP_S = 1.2
READY_S = 15.0
# After the faults callers must be served again within this time (`recovery_s` of the users' pages).
RECOVERY_S = 15.0
PROBES = 40
MIN_SERVED_SHARE = 0.9


class World:
    def __init__(self, binary, folder, node_count):
        self.record = Record()
        self.store = Store()
        self.version = 0
        self.nodes = [
            Node(f"n{i}", SERVICES[i % len(SERVICES)], binary, folder, self.record) for i in range(node_count)
        ]
        self.tasks = []
        # Line-buffered, so that the faults are there when the soak itself is stopped.
        self.log = open(os.path.join(folder, "faults.log"), "w", buffering=1, encoding="utf-8")

    async def start(self):
        await self.store.start()
        for node in self.nodes:
            self.record.services["node:" + node.name] = node.service
            node.log = self.note
            await node.start(self.store.port)
        await self.publish()
        if not await self.until_ready(READY_S):
            self.record.fail("Fault", "not all nodes are ready after the start")
        for node in self.nodes:
            for i in range(CALLERS_PER_NODE):
                client = Client(f"{node.name}-c{i}", node, self.record, self.routes, REQUESTS_PER_S)
                self.tasks.append(asyncio.create_task(client.run()))

    def note(self, text):
        self.log.write(f"{clock()} {text}\n")

    def routes(self):
        """Route names that callers use: fixed ones and those that come and go with versions."""
        versions = range(max(1, self.version - ROUTES_KEPT), self.version + 1)
        return ("alpha", "beta", "alpha", "beta", *(f"v{version}" for version in versions))

    def services_of(self, version):
        kept = range(max(1, version - ROUTES_KEPT + 1), version + 1)
        return {
            "alpha": ("alpha",),
            "beta": ("beta",),
            **{f"v{kept_version}": (SERVICES[kept_version % 2],) for kept_version in kept},
        }

    def config_of(self, version):
        resources = [
            {
                "resource_type": "services",
                "metadata": {"name": service},
                "specification": {"health_check_path": "/health", "max_connections": 60},
            }
            for service in SERVICES
        ]
        for route, services in self.services_of(version).items():
            resources.append(
                {
                    "resource_type": "routes",
                    "metadata": {"name": route},
                    "specification": {
                        "host": "soak.example",
                        "path_prefix": f"/{route}/",
                        "kind": "idempotent" if route == IDEMPOTENT_ROUTE else "non_idempotent",
                        "timeout_ms": 1200,
                        "target_latency_ms": 500,
                        "priority": 1,
                        "service": services[0],
                        "attempts": 2,
                    },
                }
            )
        return json.dumps({"version": f"r{version * 3}", "resources": resources}).encode()

    async def publish(self):
        self.version += 1
        version = self.version
        self.record.published(version, self.services_of(version))
        await self.store.put("keyed.op", "config", self.config_of(version))

    async def until_ready(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            if all(await asyncio.gather(*(node.is_ready() for node in self.nodes))):
                return True
            await asyncio.sleep(0.1)
        return False

    async def disturb(self, seconds):
        """Faults in series that overlap; returns when all of them have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = set()
        while loop.time() < end:
            fault = random.choice(FAULTS)
            self.note(fault.__name__)
            running.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(random.uniform(0, FAULT_GAP_S))
        for result in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    async def check_recovery(self):
        for node in self.nodes:
            if not node.target.alive:
                node.target.begin()
        if not await self.until_ready(RECOVERY_S):
            late = [node.name for node in self.nodes if not await node.is_ready()]
            self.record.fail("RECOVER", f"{late} not ready {RECOVERY_S} s after the faults")
        before = self.record.outcomes.copy()
        for _ in range(PROBES):
            await asyncio.sleep(0.1)
        new = self.record.outcomes - before
        served = new[200] / max(1, sum(new.values()) - new[404])
        if served < MIN_SERVED_SHARE:
            self.record.fail("RECOVER", f"{served:.2f} of the requests are served after the faults: {dict(new)}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.log.close()
