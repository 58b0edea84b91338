"""Runs load experiments against real nodes and target stand-ins, with one mesh per policy in the same run.

Each mesh has three data centres, and a large and a small service whose targets differ in service time.
The load tool sends the same sequence of requests to every mesh, then checks the executions that the
targets recorded.
"""

import argparse
import os
import signal
import subprocess
import sys
import threading
import time

from mesh import HOST, Mesh

DEPLOYMENTS = {
    # large service, endpoints, small service, endpoints, slots
    "ticket": ("ticket-desk", 10, "docket-store", 3, 12),
    "fleet": ("enrol", 10, "imaging", 3, 9),
}
DATA_CENTRES = ("one", "two", "three")
SERVICE_TIMES_MS = (60, 90, 120, 180, 240)

INVENTORY = """\
[service {large}]
timeout_ms = 2000
idempotent_methods = GET
slots = {slots}
connections = 130

[service {small}]
timeout_ms = 2000
idempotent_methods = GET
slots = {slots}
connections = 130

[rule standard]
retry = yes
max_attempts = 3
deadline_ms = 1000

[route large]
path_prefix = /large
service = {large}
rule = standard

[route small]
path_prefix = /small
service = {small}
rule = standard
"""

POLICIES = {
    "default": {},
    "round_robin": {"limits": {"selection_policy": "round_robin"}},
    "least_in_flight": {"limits": {"selection_policy": "least_in_flight"}},
    "power_of_two": {"limits": {"selection_policy": "power_of_two"}},
    "fixed": {"limits": {"limit_policy": "fixed"}},
    "gradient": {"limits": {"limit_policy": "gradient"}},
    "feedback": {"limits": {"limit_policy": "feedback"}},
}


class PolicyMesh:
    """A mesh of one deployment that runs under one policy: one arm of an experiment."""

    def __init__(self, build, deployment, policy):
        self.policy = policy
        large, large_count, small, small_count, slots = DEPLOYMENTS[deployment]
        settings = {section: dict(values) for section, values in POLICIES[policy].items()}
        settings.setdefault("limits", {})["slots"] = slots
        self.mesh = Mesh(build, node_settings=settings)
        node_plan = [(f"l{i}", DATA_CENTRES[i % 3], large) for i in range(large_count)]
        node_plan += [(f"s{i}", DATA_CENTRES[i % 3], small) for i in range(small_count)]
        self.mesh.start_log()
        self.mesh.add_nodes(node_plan)
        self.slots = slots
        for i, node in enumerate(self.mesh.nodes):
            service_time_us = SERVICE_TIMES_MS[i % len(SERVICE_TIMES_MS)] * 1000
            arguments = ["--slots", str(slots), "--service-time-us", str(service_time_us), "--seed", str(i)]
            self.mesh.start_target(node, arguments)
            self.mesh.start_node(node)
        self.mesh.wait_ready()
        self.mesh.publish(INVENTORY.format(large=large, small=small, slots=slots))
        self.mesh.wait_until(
            lambda: all(n.metrics().get("config_version", 0) > 0 for n in self.mesh.nodes),
            15,
            "all nodes have applied the inventory",
        )
        time.sleep(3)

    def capacity(self):
        """Requests per second that the targets of the large service can serve together."""
        large = [i for i, node in enumerate(self.mesh.nodes) if node.name.startswith("l")]
        return sum(self.slots / (SERVICE_TIMES_MS[i % len(SERVICE_TIMES_MS)] / 1000) for i in large)

    def arm_section(self):
        nodes = ",".join(f"{HOST}:{node.http_port}" for node in self.mesh.nodes)
        targets = ",".join(f"{HOST}:{node.target_port}" for node in self.mesh.nodes)
        return f"[arm {self.policy}]\nnodes = {nodes}\ntargets = {targets}\n\n"

    def kill_data_centre(self):
        for node in self.mesh.nodes:
            if node.data_centre == DATA_CENTRES[-1]:
                node.process.signal(signal.SIGKILL)

    def restart_all(self):
        """Rolling restart: stops and restarts one node at a time."""
        for node in self.mesh.nodes:
            code = node.process.stop()
            if code != 0:
                print(f"{node.name}: exit code {code} after SIGTERM", flush=True)
            self.mesh.start_node(node)
            self.mesh.wait_until(node.is_ready, 20, f"{node.name} is ready again")


WORKLOADS = """\
[workload lookup]
method = GET
path = /large/lookup
caller = house-a
share = 60
deadline_ms = 1000

[workload booking]
method = POST
path = /large/booking
caller = house-b
share = 30
idempotent = false
deadline_ms = 1000

[workload store]
method = POST
path = /small/docket
caller = house-c
share = 10
idempotent = false
deadline_ms = 1000

"""


def phase_sections(experiment, rate, load, seconds):
    phases_by_experiment = {
        "steady": [("steady", rate, seconds)],
        "overload": [("before", rate, seconds), ("overload", 2 * rate / load, seconds), ("after", rate, seconds)],
    }
    phases = phases_by_experiment.get(experiment, [("before", rate, seconds), ("fault", rate, 2 * seconds)])
    return "".join(f"[phase {name}]\nseconds = {length}\nrate = {r:.1f}\n\n" for name, r, length in phases)


def fault_sections(experiment, arms, seconds):
    if experiment != "slow_target":
        return ""
    text = ""
    for arm in arms:
        text += (
            f"[fault slow-{arm.policy}]\nat_seconds = {seconds}\n"
            f"stand_in = {HOST}:{arm.mesh.nodes[0].target_port}\nbody = {{\"slow_factor\": 5}}\n\n"
        )
    return text


def schedule_process_faults(experiment, arms, seconds):
    """Schedules the process faults of an experiment, which run in background threads."""
    actions = {"data_centre_lost": "kill_data_centre", "rolling_restart": "restart_all"}
    if experiment not in actions:
        return []
    threads = []
    for arm in arms:
        timer = threading.Timer(seconds, getattr(arm, actions[experiment]))
        timer.start()
        threads.append(timer)
    return threads


def run_experiment(build, experiment, options):
    arms = [PolicyMesh(build, options.deployment, policy) for policy in options.policies.split(",")]
    try:
        rate = options.load * arms[0].capacity()
        text = f"[experiment]\nname = {options.deployment}-{experiment}\nseed = {options.seed}\n"
        text += f"connections = {options.connections}\n\n" + WORKLOADS
        text += phase_sections(experiment, rate, options.load, options.seconds) + fault_sections(
            experiment, arms, options.seconds
        )
        text += "".join(arm.arm_section() for arm in arms)
        path = os.path.join(options.out, f"{options.deployment}-{experiment}")
        with open(path + ".ini", "w") as out:
            out.write(text)
        threads = schedule_process_faults(experiment, arms, options.seconds)
        argv = [os.path.join(build, "limpet-load"), path + ".ini", "--quiet", "--json", path + ".json"]
        subprocess.run(argv + ["--plot", path], check=True)
        for thread in threads:
            thread.join()
    finally:
        for arm in arms:
            arm.mesh.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="ticket")
    parser.add_argument(
        "--experiments", default="steady,overload,slow_target,data_centre_lost,rolling_restart"
    )
    parser.add_argument("--policies", default="default", help="comma-separated: " + ", ".join(POLICIES))
    parser.add_argument("--seconds", type=float, default=10, help="length of one phase")
    parser.add_argument("--load", type=float, default=0.5, help="steady rate as a fraction of the capacity")
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="out")
    options = parser.parse_args()
    os.makedirs(options.out, exist_ok=True)
    for experiment in options.experiments.split(","):
        run_experiment(options.build, experiment, options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
