"""Measures convergence time, control bytes, log requests, CPU and memory against the number of nodes.

Starts real limpetd processes on loopback, publishes changes in sequence and reads the metrics of the
nodes. Prints a table and writes a JSON file and a plot.
"""

import argparse
import concurrent.futures
import json
import os
import random
import signal
import subprocess
import sys
import time

from mesh import Mesh

CONTROL_BYTES = "control_bytes_sent"
CONTROL_MESSAGES = "control_messages_sent"
LOG_READS = "log_reads"
LOG_APPENDS = "log_appends"
VERSION = "config_version"
APPLIED_AT = "config_applied_unix_us"

RULE_SECTION = """\
[rule standard]
retry = yes
max_attempts = 3
deadline_ms = {deadline}

"""
SERVICE_SECTIONS = """\
[service svc-{i}]
timeout_ms = 1000
idempotent_methods = GET
slots = 12
connections = 130

[route route-{i}]
path_prefix = /svc-{i}
service = svc-{i}
rule = standard

"""


def inventory(services, change):
    inventory_text = RULE_SECTION.format(deadline=500 + change)
    return inventory_text + "".join(SERVICE_SECTIONS.format(i=i) for i in range(services))


def percentile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


class MetricsReader:
    """Reads the metrics of all nodes in parallel."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.pool = concurrent.futures.ThreadPoolExecutor(8)

    def read(self):
        return list(self.pool.map(self.read_node, self.nodes))

    @staticmethod
    def read_node(node):
        """Returns the metrics of a node; empty while it restarts."""
        try:
            return node.metrics()
        except OSError:
            return {}

    def cpu_seconds(self):
        return sum(node.process.cpu_seconds() for node in self.nodes)


def sum_of(samples, name):
    return sum(sample.get(name, 0) for sample in samples)


def measure_convergence(mesh, metrics_reader, inventory_text, timeout):
    """Publishes an inventory; returns the seconds until each node applied it, inf for nodes that did not in time."""
    version = max(sample.get(VERSION, 0) for sample in metrics_reader.read())
    start = time.time()
    mesh.publish(inventory_text)
    end = start + timeout
    while time.time() < end:
        time.sleep(0.5)
        samples = metrics_reader.read()
        newest = max(sample.get(VERSION, 0) for sample in samples)
        if newest > version and all(sample.get(VERSION, 0) == newest for sample in samples):
            break
    newest = max(sample.get(VERSION, 0) for sample in samples)
    return [
        sample.get(APPLIED_AT, 0) / 1e6 - start if sample.get(VERSION, 0) == newest > version else float("inf")
        for sample in samples
    ]


def restart_random_nodes(mesh, count, rng):
    """Kills (SIGKILL) and restarts a few nodes, but not the seeds: the restarts of an ordinary day in a short time."""
    for node in rng.sample(mesh.nodes[3:], min(count, len(mesh.nodes) - 3)):
        node.process.signal(signal.SIGKILL)
        node.process.child.wait()
        mesh.start_node(node)


def measure(build, count, mode, options):
    rng = random.Random(options.seed)
    settings = {"control": {"distribution": mode}, "logging": {"level": "warning"}}
    with Mesh(build, targets=False, node_settings=settings) as mesh:
        mesh.start_log()
        mesh.add_nodes(
            [(f"n{i:03d}", f"dc{i % 3}", f"svc-{i % options.services}") for i in range(count)]
        )
        mesh.start_nodes(seconds=120)
        metrics_reader = MetricsReader(mesh.nodes)
        mesh.publish(inventory(options.services, 0))
        # Gossip about the joins of all nodes takes up to half a minute.
        time.sleep(options.settle_seconds)
        before_idle, cpu_before_idle, start = metrics_reader.read(), metrics_reader.cpu_seconds(), time.monotonic()
        time.sleep(options.quiet_seconds)
        after_idle, cpu_after_idle = metrics_reader.read(), metrics_reader.cpu_seconds()
        idle_s = time.monotonic() - start
        convergence_s = []
        for change in range(1, options.changes + 1):
            convergence_s += measure_convergence(mesh, metrics_reader, inventory(options.services, change), 30)
        after_changes = metrics_reader.read()
        churn_convergence_s = []
        for change in range(options.changes + 1, 2 * options.changes + 1):
            restart_random_nodes(mesh, max(1, count // 20), rng)
            churn_convergence_s += measure_convergence(mesh, metrics_reader, inventory(options.services, change), 30)
        rss_mb = [node.process.rss_mb() for node in mesh.nodes]
        change_bytes = sum_of(after_changes, CONTROL_BYTES) - sum_of(after_idle, CONTROL_BYTES)
        return {
            "nodes": count,
            "mode": mode,
            "converge_p50_s": percentile(convergence_s, 0.5),
            "converge_p99_s": percentile(convergence_s, 0.99),
            "converge_max_s": max(convergence_s),
            "churn_p50_s": percentile(churn_convergence_s, 0.5),
            "churn_p99_s": percentile(churn_convergence_s, 0.99),
            "churn_max_s": max(churn_convergence_s),
            "quiet_bytes_per_node_s": (sum_of(after_idle, CONTROL_BYTES) - sum_of(before_idle, CONTROL_BYTES))
            / count / idle_s,
            "bytes_per_node_change_window": change_bytes / count / options.changes,
            "log_reads_per_s": (sum_of(after_idle, LOG_READS) - sum_of(before_idle, LOG_READS)) / idle_s,
            "log_appends_per_s": (sum_of(after_idle, LOG_APPENDS) - sum_of(before_idle, LOG_APPENDS)) / idle_s,
            "cpu_percent_per_node": 100 * (cpu_after_idle - cpu_before_idle) / count / idle_s,
            "rss_mb_mean": sum(rss_mb) / count,
            "rss_mb_max": max(rss_mb),
        }


def format_table(rows):
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + "---|" * len(names)]
    for row in rows:
        cells = [f"{row[name]:.3f}" if isinstance(row[name], float) else str(row[name]) for name in names]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plot(rows, path):
    modes = sorted({row["mode"] for row in rows})
    script = f"set terminal pngcairo size 1000,800\nset output '{path}.png'\nset multiplot layout 2,2\n"
    script += "set logscale x 2\nset xlabel 'nodes'\nset key left\n"
    for i, mode in enumerate(modes):
        script += f"$d{i} << EOD\n"
        for row in rows:
            if row["mode"] == mode:
                script += (
                    f"{row['nodes']} {row['converge_max_s']} {row['quiet_bytes_per_node_s']} "
                    f"{row['log_reads_per_s']} {row['cpu_percent_per_node']}\n"
                )
        script += "EOD\n"
    titles = ["convergence max s", "control bytes/s per node", "log reads/s", "CPU % per node"]
    for column, title in enumerate(titles, start=2):
        curves = ", ".join(f"$d{i} using 1:{column} with linespoints title '{m}'" for i, m in enumerate(modes))
        script += f"set ylabel '{title}'\nplot {curves}\n"
    with open(path + ".gp", "w") as out:
        out.write(script)
    subprocess.run(["gnuplot", path + ".gp"], check=False)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--nodes", default="10,30,100,200")
    parser.add_argument("--modes", default="tree,poll_log")
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--services", type=int, default=28)
    parser.add_argument("--quiet-seconds", type=float, default=20)
    parser.add_argument("--settle-seconds", type=float, default=35)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="out/scale")
    options = parser.parse_args()
    os.makedirs(os.path.dirname(options.out) or ".", exist_ok=True)
    rows = []
    for mode in options.modes.split(","):
        for count in map(int, options.nodes.split(",")):
            rows.append(measure(options.build, count, mode, options))
            print(json.dumps(rows[-1]), flush=True)
    with open(options.out + ".json", "w") as out:
        json.dump(rows, out, indent=2)
    plot(rows, options.out)
    print(format_table(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
