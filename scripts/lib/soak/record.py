"""What callers and targets have seen, and the promises that it must keep."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from soak.target import body_of

DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
ROLLBACK_S = 0.25
CONTACT_S = 3.0
# The harness and the processes share one machine; events may be seen this much late.
HOST_SLACK_S = 0.7
# Responses of a node in touch that may be lost before it counts (rule LOST of the users' pages).
LOST_ALLOWED = 3
REFUSALS = (408, 421, 429, 503)
ROUTES_KEPT = 3
# The route whose requests may run more than once, whatever their method.
IDEMPOTENT_ROUTE = "beta"


def clock():
    """The time of day as the nodes log it."""
    now = time.time()
    return time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"


@dataclass
class Sent:
    method: str
    path: str
    node: str
    at: float

    @property
    def idempotent(self):
        return route_of(self.path) == IDEMPOTENT_ROUTE


class Record:
    def __init__(self):
        self.sent = {}
        self.runs = defaultdict(list)
        self.refused = set()
        self.left = {}
        self.versions = {}
        self.services = {}
        self.violations = []
        self.seen_version = Counter()
        self.lost = Counter()
        self.disturbed = defaultdict(float)
        self.store_disturbed = 0.0
        self.outcomes = Counter()

    def fail(self, rule, text):
        self.violations.append(f"{clock()} {rule}: {text}")

    def disturb(self, node):
        self.disturbed[node] = time.monotonic()

    def in_touch(self, node, since):
        """Whether nothing has disturbed the node or the store from `CONTACT_S` before `since` until now."""
        return max(self.disturbed[node], self.disturbed["all"], self.store_disturbed) + CONTACT_S < since

    def leaving(self, instance):
        self.left[instance] = time.monotonic()

    def started(self, instance):
        """A target started, perhaps under the name of one that has left."""
        self.left.pop(instance, None)

    def published(self, version, services):
        self.versions[version] = time.monotonic()
        self.services.update(services)

    def restarted(self, node):
        self.seen_version[node] = 0

    def ran(self, target, request):
        """A target began to work on a request."""
        now = time.monotonic()
        request_id = request.headers.get("x-request-id", "")
        sent = self.sent.get(request_id)
        if sent is None or sent.path != request.start[1] or sent.method != request.start[0]:
            self.fail("UNASKED", f"{target.instance} runs {request_id} {request.start}")
            return
        if request.headers.get("x-caller-service") != self.services.get("node:" + sent.node):
            self.fail("UNASKED", f"{request_id}: caller service {request.headers.get('x-caller-service')}")
        if target.service not in self.services.get(route_of(sent.path), ()):
            self.fail("ROUTE", f"{request_id} {sent.path} runs at {target.service}")
        self.runs[request_id].append(target.instance)
        if not sent.idempotent and len(self.runs[request_id]) > 1:
            self.fail("TWICE", f"{request_id} runs at {self.runs[request_id]}")
        if not sent.idempotent and request_id in self.refused:
            self.fail("REFUSED", f"{request_id} was refused and runs at {target.instance}")
        left = self.left.get(target.instance)
        if left is not None and now > left + DRAIN_S + HOST_SLACK_S:
            self.fail("DRAIN", f"{request_id} runs at {target.instance} {now - left:.3f} s after its leave")

    def answered(self, request_id, response):
        sent = self.sent[request_id]
        status = response.status
        self.outcomes[status] += 1
        if status in REFUSALS:
            self.refused.add(request_id)
            if not sent.idempotent and self.runs.get(request_id):
                self.fail("REFUSED", f"{request_id} gets {status} and ran at {self.runs[request_id]}")
        elif 200 <= status < 300:
            if response.headers.get("x-request-id") != request_id:
                self.fail("MIXED", f"{request_id} gets the response of {response.headers.get('x-request-id')}")
            if response.body != body_of(request_id, sent.path) or "x-server-signature" not in response.headers:
                self.fail("MIXED", f"{request_id} gets a body that is not the target's")
        self.check_version(sent, status)

    def check_version(self, sent, status):
        route = route_of(sent.path)
        if not route.startswith("v"):
            return
        version = int(route[1:])
        gone = self.versions.get(version + ROUTES_KEPT)
        if status == 200:
            self.seen_version[sent.node] = max(self.seen_version[sent.node], version)
            late = gone is not None and sent.at > gone + CONFIG_APPLY_S + HOST_SLACK_S
            if late and self.in_touch(sent.node, gone):
                self.fail("CONFIG", f"{sent.node} serves route {route} {sent.at - gone:.3f} s after its removal")
        elif status == 404 and gone is None:
            since = self.versions[version]
            if sent.at > since + CONFIG_APPLY_S + HOST_SLACK_S and self.in_touch(sent.node, since):
                self.fail("CONFIG", f"{sent.node} answers 404 for {route} {sent.at - since:.3f} s after it came")
            if version <= self.seen_version[sent.node]:
                self.fail("CONFIG", f"{sent.node} goes back before version {self.seen_version[sent.node]}")

    def closed(self, request_id, planned_stop):
        """The connection ended without an answer."""
        sent = self.sent[request_id]
        self.outcomes["closed"] += 1
        if not self.runs.get(request_id):
            return
        if planned_stop:
            self.fail("LOST", f"{request_id} is cut by the planned stop of {sent.node}")
        elif self.in_touch(sent.node, sent.at):
            self.lost[sent.node] += 1
            if self.lost[sent.node] > LOST_ALLOWED:
                self.fail("LOST", f"{sent.node} closes {self.lost[sent.node]} connections without an answer")


def route_of(path):
    """The first segment of a path names its route."""
    return path.split("/")[1]
