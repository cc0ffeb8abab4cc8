"""Transmits datagrams between the processes and endpoints of a replay."""

from functools import partial
from random import Random

from lycheeglade import replay_caller, replay_upstream
from lycheeglade.address import Address
from lycheeglade.agent_state import AgentActions
from lycheeglade.balancer import Balancer, BalancerActions
from lycheeglade.flow import FlowKey
from lycheeglade.packet import encode_packet
from lycheeglade.replay_caller import Caller
from lycheeglade.replay_upstream import UpstreamModel
from lycheeglade.replay_world import Process, World, build_snapshot, deliver, transmit
from lycheeglade.served_target import TargetKey
from lycheeglade.spread import build_view
from lycheeglade.trace import (
    Upstream,
)
from lycheeglade.view import View

FABRIC = "fabric"


def _send_to(world: World, source: str, address: Address, datagram: bytes) -> None:
    name = world.names_by_address.get(address)
    if name is None:
        world.count("lost", "", "no-such-address")
        return
    sender = world.processes_by_name[source]

    def arrive(now: float) -> None:
        process = world.processes_by_name[name]
        deliver(
            world,
            process,
            lambda now: process.inputs.receive_datagram(
                datagram, sender.host.packets, now
            ),
        )

    transmit(world, source, name, arrive)


def agent_actions(world: World, name: str) -> AgentActions:
    """Return the actions of an agent in the replay."""
    return AgentActions(
        send=lambda address, packet: _send_to(
            world, name, address, encode_packet(packet)
        ),
        send_upstream=lambda key, flow, datagram: _send_upstream(
            world, name, key, datagram
        ),
        close_upstream=lambda key, flow: None,
        count=world.count,
        record=lambda service, work, stage, seconds: None,
    )


def balancer_actions(world: World, name: str) -> BalancerActions:
    """Return the actions of a balancer in the replay."""
    return BalancerActions(
        send=lambda address, datagram: _send_to(world, name, address, datagram),
        answer=lambda service, caller, datagram: _answer_caller(
            world, name, FlowKey(service, caller[0], caller[1]), datagram
        ),
        count=world.count,
    )


def _send_upstream(world: World, name: str, key: TargetKey, datagram: bytes) -> None:
    upstream = world.upstreams_by_key.get(key)
    if upstream is None:
        upstream = _make_upstream(world, name, key)
    replay_upstream.receive(upstream, datagram, world.now)


def _make_upstream(world: World, name: str, key: TargetKey) -> UpstreamModel:
    def send(datagram: bytes) -> None:
        process = world.processes_by_name[name]
        deliver(
            world,
            process,
            lambda now: process.inputs.receive_from_upstream(key, None, datagram, now),
        )

    def send_later(datagram: bytes) -> None:
        world.timers.call_at(world.now, lambda now: send(datagram))

    upstream = UpstreamModel(
        key.service, key.target_id, send_later, world.timers.call_at
    )
    world.upstreams_by_key[key] = upstream
    behaviour = world.behaviours_by_key.get(key)
    if behaviour is not None:
        apply_behaviour(upstream, behaviour)
    return upstream


def apply_behaviour(upstream: UpstreamModel, behaviour: Upstream) -> None:
    """Apply the behaviour that a line of the trace sets for an upstream."""
    upstream.service_time = behaviour.service_time_s
    upstream.slots = behaviour.slots
    upstream.feed_period = behaviour.feed_period_s
    upstream.alternate_delay = behaviour.crossing_s
    if behaviour.is_down and not upstream.is_down:
        upstream.feeds_by_token.clear()
        upstream.waiting.clear()
    upstream.is_down = behaviour.is_down


def _answer_caller(world: World, name: str, flow: FlowKey, datagram: bytes) -> None:
    caller = world.callers_by_flow.get(flow)
    if caller is None or flow in world.forgotten_flows:
        world.count("lost", flow.service, "no-such-caller")
        return
    transmit(
        world, name, FABRIC, lambda now: replay_caller.receive(caller, datagram, now)
    )


def _send_to_fabric(world: World, caller: Caller, datagram: bytes) -> None:
    if caller.flow in world.forgotten_flows:
        return
    names = [
        name
        for name, process in world.processes_by_name.items()
        if _is_fabric_destination(world, process)
    ]
    if not names:
        return
    name = names[world.generator.randrange(len(names))]
    flow = caller.flow

    def arrive(now: float) -> None:
        process = world.processes_by_name[name]
        deliver(
            world,
            process,
            lambda now: process.inputs.receive_from_caller(
                flow.service,
                Address(flow.caller_ip, flow.caller_port),
                datagram,
                now,
            ),
        )

    transmit(world, FABRIC, name, arrive)


def _is_fabric_destination(world: World, process: Process) -> bool:
    """Return whether the fabric sends callers' datagrams to a process.

    The fabric sends to a balancer for `withdraw_s` seconds after its end.
    """
    if not isinstance(process.state, Balancer):
        return False
    if process.is_alive:
        return not process.is_stopping
    return world.now < (process.ended_at or 0.0) + world.options.withdraw_s


def get_or_create_caller(world: World, service: str, caller: str) -> Caller:
    """Return the caller with a given address; create it at its first use."""
    ip, _, port = caller.rpartition(":")
    flow = FlowKey(service, ip, int(port))
    if (service, caller) not in world.callers_by_name:
        view, _ = build_view(build_snapshot(world), View())
        known = view.services_by_name.get(service)
        world.callers_by_flow[flow] = Caller(
            flow,
            known.heartbeat if known else 10.0,
            Random(world.generator.getrandbits(64)),
            partial(_send_to_fabric, world),
            world.timers.call_at,
            partial(_change_caller_address, world),
        )
        world.callers_by_name[service, caller] = world.callers_by_flow[flow]
    return world.callers_by_name[service, caller]


def _change_caller_address(world: World, caller: Caller) -> None:
    """Give a caller the next port; its old flow receives nothing more."""
    del world.callers_by_flow[caller.flow]
    flow = caller.flow
    caller.flow = FlowKey(flow.service, flow.caller_ip, flow.caller_port + 1)
    world.callers_by_flow[caller.flow] = caller
