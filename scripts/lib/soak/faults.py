"""Faults of the soak. Each one is a coroutine that disturbs the world for a while and mends what it broke."""

import asyncio
import random


def node_of(world):
    return random.choice(world.nodes)


async def kill_node(world):
    node_of(world).kill()


async def kill_herd(world):
    for node in random.sample(world.nodes, max(2, len(world.nodes) // 2)):
        node.kill()


async def pause_node(world):
    await node_of(world).pause(random.uniform(0.3, 3.0))


async def terminate_node(world):
    node = node_of(world)
    if not node.stopping:
        await node.terminate()


async def roll(world):
    for node in list(world.nodes):
        if not node.stopping:
            await node.terminate()


async def reload_node(world):
    node_of(world).reload()


async def delay_links(world):
    node = node_of(world)
    node.links.delay_s = random.uniform(0.01, 0.3)
    await held(world, node.name, random.uniform(0.5, 3))
    node.links.delay_s = 0.0


async def reset_links(world):
    node = node_of(world)
    world.record.disturb("all")
    node.links.reset()


async def silence_links(world):
    world.record.disturb("all")
    node_of(world).links.silence()


async def cut_links(world):
    node = node_of(world)
    node.links.blocked = random.choice(({"to"}, {"from"}, {"to", "from"}))
    # Requests of all nodes may be on the cut links.
    await held(world, "all", random.uniform(0.5, 4))
    node.links.blocked = set()
    world.record.disturb("all")


async def cut_store(world):
    node = node_of(world)
    node.store.blocked = {"to", "from"}
    await held(world, node.name, random.uniform(0.5, 5))
    node.store.blocked = set()
    world.record.disturb(node.name)


async def break_store(world):
    world.store.fault = random.choice(("down", "silent", "slow", "lost", "late"))
    loop = asyncio.get_running_loop()
    end = loop.time() + random.uniform(0.5, 5)
    while loop.time() < end:
        world.record.store_disturbed = loop.time()
        await asyncio.sleep(0.1)
    world.store.fault = ""
    for node in world.nodes:
        # What was silent stays so on open connections; the store's server has come back.
        node.store.reset()


async def compact_store(world):
    world.record.store_disturbed = asyncio.get_running_loop().time()
    await world.store.compact("keyed.op")
    await world.store.compact("keyed.limpet-nodes")


async def target_misbehaves(world):
    target = node_of(world).target
    target.fault = random.choice(("slow", "lost", "mute", "cut", "extra", "errors", "shed"))
    target.fault_share = random.uniform(0.05, 0.6)
    await asyncio.sleep(random.uniform(0.5, 4))
    target.fault = ""


async def target_crashes(world):
    target = node_of(world).target
    target.crash()
    await asyncio.sleep(random.uniform(0.1, 2))
    if not target.alive:
        target.begin(keep_name=random.random() < 0.3)


async def target_leaves(world):
    target = node_of(world).target
    if target.draining or not target.alive:
        return
    await target.leave(announce_draining=random.random() < 0.6)
    await asyncio.sleep(random.uniform(0.1, 1.5))
    if not target.alive:
        target.begin()


async def late_heartbeat(world):
    """A heartbeat that was held up arrives after its target has left."""
    target = node_of(world).target
    if target.draining or not target.alive:
        return
    name, born = target.instance, target.born_ms
    await target_leave_and_return(target)
    late = type(target)(target.name, target.service, target.record)
    late.instance, late.born_ms, late.sequence = name, born, 20
    late.port, late.announce_port = target.port, target.announce_port
    await late.heartbeat()


async def target_leave_and_return(target):
    await target.leave(announce_draining=False)
    if not target.alive:
        target.begin()


async def change_config(world):
    await world.publish()


async def config_storm(world):
    for _ in range(random.randint(3, 10)):
        await world.publish()
        await asyncio.sleep(random.uniform(0.02, 0.3))


async def bad_config(world):
    """Records that are no configuration, and one that is older than the newest."""
    bad = random.choice((b"", b"{", b'{"version":"r999999"}', world.config_of(max(1, world.version - 1))))
    await world.store.put("keyed.op", "config", bad)


async def held(world, disturbed, seconds):
    """Waits while a fault lasts; whoever is disturbed counts as out of touch."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        world.record.disturb(disturbed)
        await asyncio.sleep(0.1)


FAULTS = (
    kill_node,
    kill_herd,
    pause_node,
    terminate_node,
    roll,
    reload_node,
    delay_links,
    reset_links,
    silence_links,
    cut_links,
    cut_store,
    break_store,
    compact_store,
    target_misbehaves,
    target_crashes,
    target_leaves,
    late_heartbeat,
    change_config,
    config_storm,
    bad_config,
)
