"""Demo: three data centres of two nodes each, a published inventory, and a route change under load."""

import sys
import threading
import time

from mesh import Mesh, http

INVENTORY = """\
[service ticket-desk]
timeout_ms = 1000
idempotent_methods = GET
slots = 12
connections = 130

[service docket-store]
timeout_ms = 1000
idempotent_methods = GET, PUT
slots = 12
connections = 130

[rule standard]
retry = yes
max_attempts = 3
deadline_ms = 1000

[route desk]
path_prefix = /tickets
service = {ticket_service}
rule = standard

[route dockets]
path_prefix = /dockets
service = docket-store
rule = standard
"""


def node_plan():
    nodes = []
    for data_centre in ("limerick", "cork", "tralee"):
        nodes.append((f"{data_centre}-desk", data_centre, "ticket-desk"))
        nodes.append((f"{data_centre}-store", data_centre, "docket-store"))
    return nodes


class Caller:
    """Requests one path in a closed loop and counts the responses by status; 0 stands for no response."""

    def __init__(self, port, path):
        self.port, self.path = port, path
        self.running, self.statuses = True, {}
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while self.running:
            try:
                status = http("GET", self.port, self.path, headers={"X-Limpet-Caller": "demo"})[0]
            except OSError:
                status = 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
            time.sleep(0.005)

    def stop(self):
        self.running = False
        self.thread.join()
        return self.statuses


def main(build):
    with Mesh(build) as mesh:
        print("== start the log stand-in, 6 nodes and 6 targets")
        mesh.start_log()
        mesh.add_nodes(node_plan())
        mesh.start_nodes()
        print("== publish the inventory")
        print(mesh.publish(INVENTORY.format(ticket_service="ticket-desk"), "first inventory")[1])
        first = mesh.nodes[0]
        mesh.wait_until(
            lambda: all(http("GET", node.http_port, "/tickets/1")[0] == 200 for node in mesh.nodes),
            15,
            "every node serves requests",
        )
        print("== one request through the mesh")
        status, headers, body = http("POST", first.http_port, "/tickets/book", "lot 17")
        print(status, headers.get("X-Limpet-Outcome"), body[:80])
        print("== change a route under load")
        callers = [Caller(node.http_port, "/tickets/1") for node in mesh.nodes]
        time.sleep(1)
        print(mesh.publish(INVENTORY.format(ticket_service="docket-store"), "move the desk")[1])
        time.sleep(4)
        statuses = {}
        for caller in callers:
            for status, count in caller.stop().items():
                statuses[status] = statuses.get(status, 0) + count
        print("responses by HTTP status during the change:", statuses)
        print("== status")
        print(mesh.run_limpetctl("status", check=False)[1])
        print("== trace")
        version = max(node.metrics()["config_version"] for node in mesh.nodes)
        print(mesh.run_limpetctl("trace", str(version), check=False)[1])
        print("== nodes")
        print(mesh.run_limpetctl("nodes", "--node", f"127.0.0.1:{first.http_port}")[1])
        codes = mesh.stop()
        print("== summary: exit codes of the nodes", codes)
        failed = sum(count for status, count in statuses.items() if status != 200)
        print(f"{sum(statuses.values())} requests, {failed} failed, version {version}")
        return 0 if failed == 0 and all(code == 0 for code in codes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
