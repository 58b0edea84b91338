"""Runs a log stand-in, nodes and target stand-ins on loopback for the demo and the measurements."""

import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

HOST = "127.0.0.1"


def free_ports(count):
    """Returns ports that are free for TCP and UDP now; another process may take them before they are used."""
    sockets, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind((HOST, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((HOST, port))
        except OSError:
            tcp.close()
            udp.close()
            continue
        sockets += [tcp, udp]
        ports.append(port)
    for sock in sockets:
        sock.close()
    return ports


def http(method, port, path, body=None, timeout=5, headers=None):
    """Returns (status, headers, body); raises OSError if there is no response."""
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}",
        data=None if body is None else body.encode(),
        method=method,
        headers=headers or {},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode(errors="replace")
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode(errors="replace")


class Process:
    """A child process whose output is appended to a file."""

    def __init__(self, name, argv, folder):
        self.name = name
        self.log_path = os.path.join(folder, name + ".out")
        with open(self.log_path, "ab") as out:
            self.child = subprocess.Popen(argv, stdout=out, stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, timeout=15):
        """Sends SIGTERM and waits; returns the exit code, or None if the process had to be killed."""
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self):
        with open(f"/proc/{self.child.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Node:
    def __init__(self, name, data_centre, service, peer_port, http_port, target_port):
        self.name, self.data_centre, self.service = name, data_centre, service
        self.peer_port, self.http_port, self.target_port = peer_port, http_port, target_port
        self.process = None
        self.target = None

    def metrics(self):
        _, _, text = http("GET", self.http_port, "/metrics", timeout=10)
        return {key: int(value) for key, value in (line.split() for line in text.splitlines())}

    def is_ready(self):
        try:
            return http("GET", self.http_port, "/ready", timeout=2)[0] == 200
        except OSError:
            return False


class Mesh:
    """The processes of one mesh. A context manager that stops them all on exit."""

    def __init__(self, build, targets=True, log_arguments=(), node_settings=None):
        self.build = build
        self.with_targets = targets
        self.log_arguments = list(log_arguments)
        self.node_settings = node_settings or {}
        self.folder = tempfile.mkdtemp(prefix="limpet-")
        self.log_port = free_ports(1)[0]
        self.log = None
        self.nodes = []
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def program(self, name):
        return os.path.join(self.build, name)

    def start_log(self):
        self.log = Process(
            "log",
            [self.program("limpet-standin-log"), "--port", str(self.log_port)] + self.log_arguments,
            self.folder,
        )
        self.wait_until(lambda: self.responds(self.log_port), 10, "the log stand-in responds")

    @staticmethod
    def responds(port):
        try:
            http("GET", port, "/", timeout=1)
            return True
        except OSError:
            return False

    @staticmethod
    def wait_until(condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"{what}: timeout after {seconds} s")

    def add_nodes(self, plan):
        """Adds nodes that are not started yet; `plan` is a list of (name, data centre, service)."""
        ports = free_ports(3 * len(plan))
        for i, (name, data_centre, service) in enumerate(plan):
            self.nodes.append(Node(name, data_centre, service, *ports[3 * i : 3 * i + 3]))

    def start_target(self, node, arguments=()):
        node.target = Process(
            "target-" + node.name,
            [self.program("limpet-standin-target"), "--port", str(node.target_port)]
            + list(arguments),
            self.folder,
        )

    def settings(self, node):
        seeds = ",".join(f"{HOST}:{other.peer_port}" for other in self.nodes[:3])
        sections = {
            "node": {
                "name": node.name,
                "data_centre": node.data_centre,
                "service": node.service,
                "host": HOST,
                "peer_port": node.peer_port,
                "http_port": node.http_port,
                "seeds": seeds,
            },
            "log": {"host": HOST, "port": self.log_port},
        }
        if self.with_targets:
            sections["target"] = {"host": HOST, "port": node.target_port}
        for section, values in self.node_settings.items():
            sections.setdefault(section, {}).update(values)
        text = ""
        for section, values in sections.items():
            text += f"[{section}]\n" + "".join(f"{k} = {v}\n" for k, v in values.items()) + "\n"
        return text

    def start_node(self, node):
        path = os.path.join(self.folder, node.name + ".ini")
        with open(path, "w") as out:
            out.write(self.settings(node))
        node.process = Process(node.name, [self.program("limpetd"), "--settings", path], self.folder)

    def start_nodes(self, seconds=60):
        for node in self.nodes:
            if self.with_targets:
                self.start_target(node)
            self.start_node(node)
        self.wait_ready(seconds)

    def wait_ready(self, seconds=60):
        for node in self.nodes:
            self.wait_until(node.is_ready, seconds, f"{node.name} is ready")

    def run_limpetctl(self, *arguments, check=True):
        """Runs limpetctl against the log stand-in; returns (exit code, output)."""
        argv = [self.program("limpetctl"), *arguments, "--log", f"{HOST}:{self.log_port}"]
        completed = subprocess.run(argv, capture_output=True, text=True, timeout=60, check=False)
        if check and completed.returncode != 0:
            raise RuntimeError(f"{' '.join(argv[1:])}: {completed.stdout}{completed.stderr}")
        return completed.returncode, completed.stdout + completed.stderr

    def publish(self, inventory, comment=""):
        path = os.path.join(self.folder, "inventory.ini")
        with open(path, "w") as out:
            out.write(inventory)
        base = str(self.version)
        code, text = self.run_limpetctl(
            "publish", path, "--author", "demo", "--comment", comment, "--base", base, check=False
        )
        published = re.search(r"published as version (\d+)", text)
        if code != 0 or not published:
            raise RuntimeError(f"publish failed with exit code {code}: {text}")
        self.version = int(published.group(1))
        return code, text

    def stop(self):
        """Stops nodes, then targets, then the log stand-in; returns the exit codes of the nodes."""
        for node in self.nodes:
            if node.process:
                node.process.signal(signal.SIGTERM)
        codes = [node.process.stop() for node in self.nodes if node.process]
        for node in self.nodes:
            if node.target:
                node.target.stop()
        if self.log:
            self.log.stop()
            self.log = None
        self.nodes = []
        return codes
