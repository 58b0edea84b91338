"""Records what callers and targets observe and checks the invariants of the mesh against it."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from soak.target import response_body

DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
ROLLBACK_S = 0.25
# Requests that are sent within this time after a fault may still be affected by it.
FAULT_EFFECT_S = 3.0
# The soak shares the machine with the processes, so it may observe events this much late.
OBSERVATION_DELAY_S = 0.7
# Responses that an undisturbed node may lose before it counts as a violation (rule LOST of the users' pages).
LOST_RESPONSES_ALLOWED = 3
REFUSALS = (408, 421, 429, 503)
# Each version adds a route of its own, "vN", which stays in the configuration for this many versions.
ROUTES_KEPT = 3
# Requests of this route may be executed more than once, whatever their method.
IDEMPOTENT_ROUTE = "beta"


def time_of_day():
    """Time of day in the format of the node logs."""
    now = time.time()
    return time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"


@dataclass
class SentRequest:
    method: str
    path: str
    node: str
    sent_at: float

    @property
    def idempotent(self):
        return route_name(self.path) == IDEMPOTENT_ROUTE


class Checker:
    def __init__(self):
        self.sent_requests = {}
        self.executions = defaultdict(list)
        self.refused = set()
        self.left_at = {}
        self.published_at = {}
        # Services by route name, and the service of each node under "node:NAME".
        self.services = {}
        self.violations = []
        self.newest_served_version = Counter()
        self.lost_responses = Counter()
        self.disturbed_at = defaultdict(float)
        self.store_disturbed_at = 0.0
        self.outcomes = Counter()

    def fail(self, rule, text):
        self.violations.append(f"{time_of_day()} {rule}: {text}")

    def record_disturbance(self, node):
        self.disturbed_at[node] = time.monotonic()

    def is_undisturbed_since(self, node, since):
        """Whether no fault has affected the node or the store from `FAULT_EFFECT_S` before `since` until now."""
        return max(self.disturbed_at[node], self.disturbed_at["all"], self.store_disturbed_at) + FAULT_EFFECT_S < since

    def on_target_left(self, instance):
        self.left_at[instance] = time.monotonic()

    def on_target_started(self, instance):
        """A restarted target may use the instance name of one that has left."""
        self.left_at.pop(instance, None)

    def on_config_published(self, version, services):
        self.published_at[version] = time.monotonic()
        self.services.update(services)

    def on_node_started(self, node):
        self.newest_served_version[node] = 0

    def on_execution(self, target, request):
        """Checks a request whose execution a target begins."""
        now = time.monotonic()
        request_id = request.headers.get("x-request-id", "")
        sent = self.sent_requests.get(request_id)
        if sent is None or sent.path != request.start_line[1] or sent.method != request.start_line[0]:
            self.fail("UNASKED", f"{target.instance} runs {request_id} {request.start_line}")
            return
        if request.headers.get("x-caller-service") != self.services.get("node:" + sent.node):
            self.fail("UNASKED", f"{request_id}: caller service {request.headers.get('x-caller-service')}")
        if target.service not in self.services.get(route_name(sent.path), ()):
            self.fail("ROUTE", f"{request_id} {sent.path} runs at {target.service}")
        self.executions[request_id].append(target.instance)
        if not sent.idempotent and len(self.executions[request_id]) > 1:
            self.fail("TWICE", f"{request_id} runs at {self.executions[request_id]}")
        if not sent.idempotent and request_id in self.refused:
            self.fail("REFUSED", f"{request_id} was refused and runs at {target.instance}")
        left_at = self.left_at.get(target.instance)
        if left_at is not None and now > left_at + DRAIN_S + OBSERVATION_DELAY_S:
            self.fail("DRAIN", f"{request_id} runs at {target.instance} {now - left_at:.3f} s after its leave")

    def on_response(self, request_id, response):
        sent = self.sent_requests[request_id]
        status = response.status
        self.outcomes[status] += 1
        if status in REFUSALS:
            self.refused.add(request_id)
            if not sent.idempotent and self.executions.get(request_id):
                self.fail("REFUSED", f"{request_id} gets {status} and ran at {self.executions[request_id]}")
        elif 200 <= status < 300:
            if response.headers.get("x-request-id") != request_id:
                self.fail("MIXED", f"{request_id} gets the response of {response.headers.get('x-request-id')}")
            if response.body != response_body(request_id, sent.path) or "x-server-signature" not in response.headers:
                self.fail("MIXED", f"{request_id} gets a body that is not the target's")
        self.check_version(sent, status)

    def check_version(self, sent, status):
        route = route_name(sent.path)
        if not route.startswith("v"):
            return
        version = int(route[1:])
        removed_at = self.published_at.get(version + ROUTES_KEPT)
        if status == 200:
            self.newest_served_version[sent.node] = max(self.newest_served_version[sent.node], version)
            late = removed_at is not None and sent.sent_at > removed_at + CONFIG_APPLY_S + OBSERVATION_DELAY_S
            if late and self.is_undisturbed_since(sent.node, removed_at):
                self.fail(
                    "CONFIG", f"{sent.node} serves route {route} {sent.sent_at - removed_at:.3f} s after its removal"
                )
        elif status == 404 and removed_at is None:
            since = self.published_at[version]
            if sent.sent_at > since + CONFIG_APPLY_S + OBSERVATION_DELAY_S and self.is_undisturbed_since(
                sent.node, since
            ):
                self.fail(
                    "CONFIG", f"{sent.node} responds 404 for {route} {sent.sent_at - since:.3f} s after its publication"
                )
            if version <= self.newest_served_version[sent.node]:
                self.fail("CONFIG", f"{sent.node} returned to a version before {self.newest_served_version[sent.node]}")

    def on_connection_closed(self, request_id, planned_stop):
        """The connection was closed before the response."""
        sent = self.sent_requests[request_id]
        self.outcomes["closed"] += 1
        if not self.executions.get(request_id):
            return
        if planned_stop:
            self.fail("LOST", f"{request_id} is cut by the planned stop of {sent.node}")
        elif self.is_undisturbed_since(sent.node, sent.sent_at):
            self.lost_responses[sent.node] += 1
            if self.lost_responses[sent.node] > LOST_RESPONSES_ALLOWED:
                self.fail("LOST", f"{sent.node} closes {self.lost_responses[sent.node]} connections without a response")


def route_name(path):
    """The first segment of a path is the name of its route."""
    return path.split("/")[1]
