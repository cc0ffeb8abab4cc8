"""Runs the balancers and agents of a replay."""

from random import Random

from lycheeglade import agent as agent_core
from lycheeglade import balancer as balancer_core
from lycheeglade.agent_state import Agent
from lycheeglade.recorder import connect_agent, connect_balancer
from lycheeglade.replay_network import agent_actions, balancer_actions
from lycheeglade.replay_world import Process, World
from lycheeglade.spread import Snapshot, build_view, merge_values
from lycheeglade.value import Value
from lycheeglade.view import Host, Role

MAX_AGENT_FLOWS = 10_000


def start_process(world: World, host: Host, now: float) -> None:
    """Start a process with all values published so far."""
    seed = world.generator.getrandbits(64)
    recorder = world.record and world.record(host, seed, now)
    name = host.host_id
    if host.role is Role.AGENT:
        state, inputs = connect_agent(
            lambda actions: agent_core.make_agent(
                name, host.zone, actions, Random(seed), MAX_AGENT_FLOWS, now
            ),
            agent_actions(world, name),
            recorder,
        )
    else:
        state, inputs = connect_balancer(
            lambda actions: balancer_core.make_balancer(
                name, host.zone, host.packets, actions, Random(seed)
            ),
            balancer_actions(world, name),
            recorder,
        )
    process = Process(host, state, inputs, Snapshot(), now)
    world.processes_by_name[name] = process
    world.names_by_address[host.packets] = name
    for value in list(world.values_by_name.values()):
        apply_value(world, process, value, now)
    _tick(world, process, now)


def apply_value(world: World, process: Process, value: Value, now: float) -> None:
    """Apply a value at a process, unless the process has a newer one."""
    # A single value does not complete a snapshot, so its revision stays.
    advanced = merge_values(process.snapshot, [value], process.snapshot.revision)
    process.snapshot = advanced.snapshot
    view, _ = build_view(process.snapshot, process.view)
    known = process.snapshot.values_by_name.get(value.name)
    process.revisions.append((now, value.name, known.revision if known else 0))
    process.view = view
    process.inputs.update_view(view, now)


def _tick(world: World, process: Process, now: float) -> None:
    if not process.is_alive:
        return
    if not process.is_paused:
        if isinstance(process.state, Agent):
            process.inputs.tick(True, now)
        else:
            process.inputs.tick(now)
        if process.is_stopping:
            _end_if_idle(world, process, now)
    world.timers.call_at(
        now + world.options.tick_s, lambda now: _tick(world, process, now)
    )


def _end_if_idle(world: World, process: Process, now: float) -> None:
    is_agent = isinstance(process.state, Agent)
    if is_agent and agent_core.count_pending_work(process.state):
        return
    process.is_alive = False
    process.ended_at = now
