"""Measures the latency that two nodes add to a request, and the nodes' resident memory before and after the load."""

import subprocess
import sys
import time

from mesh import Mesh

INVENTORY = """\
[service ticket-desk]
timeout_ms = 1000
idempotent_methods = GET, PUT
slots = 130
connections = 130

[rule standard]
retry = yes
max_attempts = 3
deadline_ms = 1000

[route desk]
path_prefix = /desk
service = ticket-desk
rule = standard
"""


def format_rss(mesh):
    return ", ".join(f"{node.name} {node.process.rss_mb():.1f} MB" for node in mesh.nodes)


def main(build, arguments):
    settings = {"limits": {"slots": 130}, "logging": {"level": "warning"}}
    with Mesh(build, node_settings=settings) as mesh:
        mesh.start_log()
        mesh.add_nodes([("caller", "one", "front"), ("server", "one", "ticket-desk")])
        for node in mesh.nodes:
            mesh.start_target(node, ["--slots", "130"])
            mesh.start_node(node)
        mesh.wait_ready()
        mesh.publish(INVENTORY)
        time.sleep(4)
        print("idle:", format_rss(mesh))
        caller, server = mesh.nodes
        ports = ["--target-port", str(server.target_port), "--node-port", str(caller.http_port)]
        completed = subprocess.run([mesh.program("limpet-latency"), *ports, *arguments], check=False)
        print("after the load:", format_rss(mesh))
        return completed.returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2:]))
