"""Faults of the soak. Each is a coroutine that injects a fault into the deployment and later removes it."""

import asyncio
import random

from soak.checker import FAULT_EFFECT_S

# Longest time for which bytes between nodes are held up: the longest cut of the users' days.
MAX_HOLD_S = 12


def random_node(deployment):
    return random.choice(deployment.nodes)


async def kill_node(deployment):
    random_node(deployment).kill()


async def kill_half_of_nodes(deployment):
    for node in random.sample(deployment.nodes, max(2, len(deployment.nodes) // 2)):
        node.kill()


async def pause_node(deployment):
    await random_node(deployment).pause(random.uniform(0.3, 3.0))


async def terminate_node(deployment):
    node = random_node(deployment)
    if not node.stopping:
        await node.terminate()


async def rolling_restart(deployment):
    for node in list(deployment.nodes):
        if not node.stopping:
            await node.terminate()


async def reload_node(deployment):
    random_node(deployment).reload()


async def delay_links(deployment):
    node = random_node(deployment)
    node.link_proxy.delay_s = random.uniform(0.01, 0.3)
    await keep_disturbed(deployment, node.name, random.uniform(0.5, 3))
    node.link_proxy.delay_s = 0.0


async def reset_links(deployment):
    node = random_node(deployment)
    deployment.checker.record_disturbance("all")
    node.link_proxy.reset()


async def stall_links(deployment):
    deployment.checker.record_disturbance("all")
    random_node(deployment).link_proxy.stall()


async def hold_links(deployment):
    """What is sent on the open links of some nodes arrives late, also if the links are closed meanwhile; new links work."""
    nodes = random.sample(deployment.nodes, random.randint(1, len(deployment.nodes)))
    seconds = random.uniform(1, MAX_HOLD_S)
    disturbed = keep_disturbed(deployment, "all", seconds)
    await asyncio.gather(disturbed, *(node.link_proxy.hold(seconds) for node in nodes))
    deployment.checker.record_disturbance("all")


async def block_links(deployment):
    node = random_node(deployment)
    node.link_proxy.blocked = random.choice(({"to"}, {"from"}, {"to", "from"}))
    # The blocked links may carry requests of all nodes.
    await keep_disturbed(deployment, "all", random.uniform(0.5, 4))
    node.link_proxy.blocked = set()
    deployment.checker.record_disturbance("all")


async def block_store(deployment):
    node = random_node(deployment)
    node.store_proxy.blocked = {"to", "from"}
    await keep_disturbed(deployment, node.name, random.uniform(0.5, 5))
    node.store_proxy.blocked = set()
    deployment.checker.record_disturbance(node.name)


async def inject_store_fault(deployment):
    deployment.store.fault = random.choice(("down", "silent", "slow", "lost", "late"))
    loop = asyncio.get_running_loop()
    end = loop.time() + random.uniform(0.5, 5)
    while loop.time() < end:
        deployment.checker.store_disturbed_at = loop.time()
        await asyncio.sleep(0.1)
    deployment.store.fault = ""
    await publish_after_fault(deployment)


async def stall_store(deployment):
    """Connections to the store go silent for good, while new ones work."""
    deployment.checker.store_disturbed_at = asyncio.get_running_loop().time()
    for node in random.sample(deployment.nodes, random.choice((1, len(deployment.nodes)))):
        node.store_proxy.stall()
    await publish_after_fault(deployment)


async def publish_after_fault(deployment):
    """Publishes a change from which on the effect of a fault is no excuse any more."""
    await asyncio.sleep(FAULT_EFFECT_S + 0.1)
    await deployment.publish()


async def compact_store(deployment):
    deployment.checker.store_disturbed_at = asyncio.get_running_loop().time()
    await deployment.store.compact("keyed.op")
    await deployment.store.compact("keyed.limpet-nodes")


async def inject_target_fault(deployment):
    target = random_node(deployment).target
    target.fault = random.choice(("slow", "lost", "mute", "cut", "extra", "errors", "shed"))
    target.fault_share = random.uniform(0.05, 0.6)
    await asyncio.sleep(random.uniform(0.5, 4))
    target.fault = ""


async def target_crashes(deployment):
    target = random_node(deployment).target
    target.crash()
    await asyncio.sleep(random.uniform(0.1, 2))
    if not target.alive:
        target.start(reuse_name=random.random() < 0.3)


async def target_leaves(deployment):
    target = random_node(deployment).target
    if target.draining or not target.alive:
        return
    await target.leave(announce_draining=random.random() < 0.6)
    await asyncio.sleep(random.uniform(0.1, 1.5))
    if not target.alive:
        target.start()


async def late_heartbeat(deployment):
    """A delayed heartbeat of a target instance arrives after that instance has left."""
    target = random_node(deployment).target
    if target.draining or not target.alive:
        return
    name, start_time_ms = target.instance, target.start_time_ms
    await restart_target(target)
    late = type(target)(target.name, target.service, target.slots, target.checker)
    late.instance, late.start_time_ms, late.sequence = name, start_time_ms, 20
    late.port, late.announcements_port = target.port, target.announcements_port
    await late.heartbeat()


async def leave_around_restarts(deployment):
    """A target leaves, processes of nodes end around that, and heartbeats from before the leave arrive at any time."""
    node = random_node(deployment)
    target = node.target
    if target.draining or not target.alive:
        return
    deliver_late = target.capture_heartbeat()
    leave = asyncio.create_task(target.leave(announce_draining=random.random() < 0.5))
    others = [other for other in deployment.nodes if other is not node]
    for _ in range(random.randint(1, 3)):
        await asyncio.sleep(random.uniform(0, 1.0))
        for ending in [node, *random.sample(others, random.choice((0, 0, 1, len(others))))]:
            ending.kill()
        await asyncio.sleep(random.uniform(0, 1.5))
        await deliver_late()
    await leave
    if not target.alive:
        target.start(reuse_name=random.random() < 0.5)
    await deliver_late()


async def restart_target(target):
    await target.leave(announce_draining=False)
    if not target.alive:
        target.start()


async def publish_config(deployment):
    await deployment.publish()


async def publish_burst(deployment):
    for _ in range(random.randint(3, 10)):
        await deployment.publish()
        await asyncio.sleep(random.uniform(0.02, 0.3))


async def publish_invalid_config(deployment):
    """Publishes a record that is not a valid configuration, or a version older than the newest. The operator corrects it
    later: the platform's store accepts valid configurations only, and nodes that all restart would find no other."""
    bad = random.choice((b"", b"{", b'{"version":"r999999"}', deployment.encode_config(max(1, deployment.version - 1))))
    await deployment.store.append_record("keyed.op", "config", bad)
    await asyncio.sleep(random.uniform(0.5, 6))
    await deployment.publish()


async def keep_disturbed(deployment, disturbed, seconds):
    """Waits for the duration of a fault and marks the given node, or "all", as disturbed meanwhile."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        deployment.checker.record_disturbance(disturbed)
        await asyncio.sleep(0.1)


ALL_FAULTS = (
    kill_node,
    kill_half_of_nodes,
    pause_node,
    terminate_node,
    rolling_restart,
    reload_node,
    delay_links,
    reset_links,
    stall_links,
    hold_links,
    block_links,
    block_store,
    inject_store_fault,
    stall_store,
    compact_store,
    inject_target_fault,
    target_crashes,
    target_leaves,
    late_heartbeat,
    leave_around_restarts,
    publish_config,
    publish_burst,
    publish_invalid_config,
)


def select_faults(names):
    """Returns the faults with these names, separated by commas; all faults if `names` is empty."""
    by_name = {fault.__name__: fault for fault in ALL_FAULTS}
    return [by_name[name] for name in names.split(",")] if names else list(ALL_FAULTS)
