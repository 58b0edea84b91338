"""The deployment that one seed of the soak runs: store, nodes, targets, callers and configuration changes."""

import asyncio
import json
import os
import random

from soak.caller import Caller
from soak.node import Node
from soak.checker import IDEMPOTENT_ROUTE, ROUTES_KEPT, Checker, time_of_day
from soak.store import Store

SERVICES = ("alpha", "beta")
DATA_CENTRES = ("a", "b", "c")
CALLERS_PER_NODE = 3
# Longest interval between the starts of two faults; faults overlap.
MAX_FAULT_INTERVAL_S = 1.2
READY_LIMIT_S = 15.0
# Callers must be served again within this time after the faults (`recovery_s` of the users' pages).
RECOVERY_LIMIT_S = 15.0
# Length of the recovery check in steps of 0.1 s.
RECOVERY_STEPS = 40
MIN_SERVED_SHARE = 0.9
# Time after which a task that still runs at the end is cancelled again.
CANCEL_INTERVAL_S = 1.0


async def cancel_and_wait(tasks, interval_s):
    """Cancels the tasks, again after each interval, until all have ended."""
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=interval_s)


class Deployment:
    def __init__(self, binary, folder, node_count, slots, requests_per_s, faults):
        self.requests_per_s = requests_per_s
        self.faults = faults
        self.checker = Checker()
        self.store = Store()
        self.version = 0
        self.nodes = [
            Node(
                f"n{i}",
                DATA_CENTRES[i // len(SERVICES) % len(DATA_CENTRES)],
                SERVICES[i % len(SERVICES)],
                slots,
                binary,
                folder,
                self.checker,
            )
            for i in range(node_count)
        ]
        self.tasks = []
        # Line-buffered, so that the entries are in the file even if the soak is killed.
        self.log = open(os.path.join(folder, "faults.log"), "w", buffering=1, encoding="utf-8")

    async def start(self):
        await self.store.start()
        for node in self.nodes:
            self.checker.services["node:" + node.name] = node.service
            node.log_event = self.log_event
            await node.start(self.store.port)
        await self.publish()
        if not await self.wait_until_ready(READY_LIMIT_S):
            self.checker.fail("Fault", "not all nodes are ready after the start")
        for node in self.nodes:
            for i in range(CALLERS_PER_NODE):
                caller = Caller(f"{node.name}-c{i}", node, self.checker, self.routes, self.requests_per_s)
                self.tasks.append(asyncio.create_task(caller.run()))

    def log_event(self, text):
        self.log.write(f"{time_of_day()} {text}\n")

    def routes(self):
        """Routes that callers use: the fixed ones and those that single versions add and later ones remove."""
        versions = range(max(1, self.version - ROUTES_KEPT), self.version + 1)
        return ("alpha", "beta", "alpha", "beta", *(f"v{version}" for version in versions))

    def route_services(self, version):
        versions = range(max(1, version - ROUTES_KEPT + 1), version + 1)
        return {
            "alpha": ("alpha",),
            "beta": ("beta",),
            **{f"v{version_of_route}": (SERVICES[version_of_route % 2],) for version_of_route in versions},
        }

    def encode_config(self, version):
        resources = [
            {
                "resource_type": "services",
                "metadata": {"name": service},
                "specification": {"health_check_path": "/health", "max_connections": 60},
            }
            for service in SERVICES
        ]
        for route, services in self.route_services(version).items():
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
        self.checker.on_config_published(version, self.route_services(version))
        await self.store.append_record("keyed.op", "config", self.encode_config(version))

    async def wait_until_ready(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            if all(await asyncio.gather(*(node.is_ready() for node in self.nodes))):
                return True
            await asyncio.sleep(0.1)
        return False

    async def inject_faults(self, seconds):
        """Starts random faults, which overlap, for the given time; returns when all of them have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = set()
        while loop.time() < end:
            fault = random.choice(self.faults)
            self.log_event(fault.__name__)
            running.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(random.uniform(0, MAX_FAULT_INTERVAL_S))
        for result in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    async def check_recovery(self):
        for node in self.nodes:
            if not node.target.alive:
                node.target.start()
        if not await self.wait_until_ready(RECOVERY_LIMIT_S):
            late = [node.name for node in self.nodes if not await node.is_ready()]
            self.checker.fail("RECOVER", f"nodes {late} are not ready {RECOVERY_LIMIT_S} s after the faults")
        before = self.checker.outcomes.copy()
        for _ in range(RECOVERY_STEPS):
            await asyncio.sleep(0.1)
        new = self.checker.outcomes - before
        served = new[200] / max(1, sum(new.values()) - new[404])
        if served < MIN_SERVED_SHARE:
            self.checker.fail("RECOVER", f"{served:.2f} of the requests are served after the faults: {dict(new)}")

    async def stop(self):
        await cancel_and_wait(self.tasks, CANCEL_INTERVAL_S)
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.log.close()
