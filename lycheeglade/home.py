"""Lookup of the home of a flow: here, at another agent, or not opened yet.

A flow stays at the agent that opened it when its candidates change. The home
notifies the flow's new first candidate, and an agent that receives a packet of
an unknown flow probes the other candidates before it opens the flow.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import replace

from lycheeglade.address import Address
from lycheeglade.agent_state import (
    Agent,
    rank_flow,
    send_packet,
    suspected_targets,
)
from lycheeglade.errors import PacketError
from lycheeglade.flow import FlowKey
from lycheeglade.message import Kind
from lycheeglade.notice import announce_home
from lycheeglade.packet import (
    FormerTarget,
    Forward,
    HomeNotice,
    Probe,
    ProbeReply,
    flow_of,
)
from lycheeglade.placement import ForwardTo, place_flow
from lycheeglade.refusal import refuse_flow
from lycheeglade.served_target import HomePointer, Opening, ServedTarget
from lycheeglade.session import (
    close_record,
    hold_packet,
    open_record,
    serve_packet,
)
from lycheeglade.view import State, Target

MAX_HOPS = 4
MAX_PROBES = 6
MAX_FORMER_PROBES = 3
PROBE_TIMEOUT_S = 0.05


def receive_forward(
    agent: Agent, served: ServedTarget, packet: Forward, source: Address, now: float
) -> None:
    """Serve a caller's datagram, forward it to the home, or open its flow."""
    flow = flow_of(packet)
    record = served.records_by_flow.get(flow)
    if record is not None:
        serve_packet(agent, served, record, packet, now)
        return
    incoming = served.incoming_by_flow.get(flow)
    if incoming is not None:
        hold_packet(agent, served, incoming.held, packet)
        return
    opening = served.openings_by_flow.get(flow)
    if opening is not None:
        hold_packet(agent, served, opening.held, packet)
        return
    home = find_home(agent, served, flow, now)
    if home is not None and home.agent == source:
        # An agent that forwards a datagram of the flow isn't the flow's home.
        del served.homes_by_flow[flow]
    elif home is not None and forward_packet(agent, served, packet, home, now):
        return
    _find_or_open_flow(agent, served, flow, packet, now)


def find_home(
    agent: Agent, served: ServedTarget, flow: FlowKey, now: float
) -> Target | None:
    """Return the other target that is known as the home of `flow`, or None."""
    pointer = served.homes_by_flow.get(flow)
    if pointer is None:
        return None
    home = served.find_target(pointer.target_id, now)
    if (
        home is None
        or now >= pointer.expires_at
        or home.target_id in suspected_targets(agent, served.service)
    ):
        del served.homes_by_flow[flow]
        return None
    pointer.expires_at = now + served.service.flow_idle
    served.homes_by_flow.move_to_end(flow)
    return home


def record_home(
    agent: Agent, served: ServedTarget, flow: FlowKey, target_id: str, now: float
) -> None:
    """Record another target as the home of `flow`."""
    served.homes_by_flow[flow] = HomePointer(target_id, now + served.service.flow_idle)
    served.homes_by_flow.move_to_end(flow)
    if len(served.homes_by_flow) > agent.max_flows:
        served.homes_by_flow.popitem(last=False)
        agent.actions.count("pointer", served.service.name, "evicted")


def forward_packet(
    agent: Agent, served: ServedTarget, packet: Forward, home: Target, now: float
) -> bool:
    """Forward a datagram to another agent, unless it exceeds the hop limit.

    Returns
    -------
    bool
        Whether the datagram was forwarded.
    """
    if packet.hops >= MAX_HOPS:
        agent.actions.count("dropped", served.service.name, "hop-limit")
        return False
    forwarded = Forward(
        packet.service,
        home.target_id,
        packet.revision,
        packet.caller_ip,
        packet.caller_port,
        packet.candidates,
        packet.hops + 1,
        packet.balancer_ip,
        packet.balancer_port,
        packet.payload,
    )
    agent.actions.count("passed-on", served.service.name, "home")
    send_packet(agent, home.agent, forwarded, now)
    return True


def _find_or_open_flow(
    agent: Agent, served: ServedTarget, flow: FlowKey, packet: Forward, now: float
) -> None:
    if len(served.openings_by_flow) >= agent.max_flows:
        agent.actions.count("dropped", served.service.name, "opening-limit")
        return
    if packet.hops > 0 or now >= served.settled_at:
        open_or_forward_flow(agent, served, flow, packet, now)
        return
    probe_homes(agent, served, flow, [packet], now)


def probe_homes(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    packets: Sequence[Forward],
    now: float,
    likely: tuple[str, ...] = (),
) -> None:
    """Ask other agents for the home of a flow, then serve `packets`.

    Parameters
    ----------
    likely : tuple of str
        Targets to probe first, besides the candidates.
    """
    if not packets:
        return
    packet = packets[0]
    others = _probe_targets(agent, served, flow, packet, likely, now)
    if not others:
        for packet in packets:
            _serve_or_place(agent, served, flow, packet, now)
        return
    opening = Opening(now, {target.target_id for target in others})
    opening.held.extend(packets)
    served.openings_by_flow[flow] = opening
    for target in others:
        _send_probe(agent, served, flow, target, now)
    agent.timers.call_at(
        now + PROBE_TIMEOUT_S,
        lambda now: _finish_opening(agent, served, flow, opening, now),
    )


def _send_probe(
    agent: Agent, served: ServedTarget, flow: FlowKey, target: Target, now: float
) -> None:
    probe = Probe(
        served.service.name, target.target_id, flow.caller_ip, flow.caller_port
    )
    agent.actions.count("probe", served.service.name, "sent")
    send_packet(agent, target.agent, probe, now)


def _probe_targets(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    packet: Forward,
    likely: tuple[str, ...],
    now: float,
) -> list[Target]:
    """Return the targets that may be the home of the flow."""
    targets_by_id = served.service.targets_by_id
    suspected = suspected_targets(agent, served.service)
    ranked = [target.target_id for target in rank_flow(agent, served, flow)]
    leaving = [
        target.target_id
        for target in targets_by_id.values()
        if target.state is State.LEAVING
    ]
    former = list(served.former_targets_by_id)[-MAX_FORMER_PROBES:]
    target_ids = dict.fromkeys(
        [*likely, *former, *packet.candidates, *ranked, *leaving]
    )
    targets = [served.find_target(name, now) for name in target_ids]
    return [
        target
        for target in targets
        if target is not None
        and target.target_id != served.target.target_id
        and target.target_id not in suspected
    ][:MAX_PROBES]


def receive_probe(
    agent: Agent, served: ServedTarget, packet: Probe, source: Address, now: float
) -> None:
    """Reply to another agent with the home of a flow, if it is known here."""
    flow = flow_of(packet)
    home_target_id = ""
    if flow in served.records_by_flow:
        home_target_id = served.target.target_id
    else:
        home = find_home(agent, served, flow, now)
        if home is not None:
            home_target_id = home.target_id
    reply = ProbeReply(
        packet.service,
        served.target.target_id,
        packet.caller_ip,
        packet.caller_port,
        home_target_id,
        _list_former_targets(served, now),
    )
    agent.actions.send(source, reply)


def _list_former_targets(served: ServedTarget, now: float) -> tuple[FormerTarget, ...]:
    """Return the latest removed targets that may be the home of flows."""
    former = [
        FormerTarget(target.target_id, target.agent.ip, target.agent.port)
        for target, until in served.former_targets_by_id.values()
        if now < until
    ]
    return tuple(former[-MAX_FORMER_PROBES:])


def receive_probe_reply(
    agent: Agent, served: ServedTarget, packet: ProbeReply, now: float
) -> None:
    """Handle another agent's reply on the home of a flow that is opening.

    `served` may be any of this host's targets of the service: the reply names
    the target that replied, not the target that sent the probe.
    """
    flow = flow_of(packet)
    opening = served.openings_by_flow.get(flow)
    if opening is None:
        return
    for former in packet.former_targets:
        target = _learn_former_target(agent, served, former, now)
        if target is not None:
            opening.awaited_targets.add(target.target_id)
            _send_probe(agent, served, flow, target, now)
    home = served.find_target(packet.home_target_id, now)
    if home is not None and home.target_id != served.target.target_id:
        agent.actions.count("probe", served.service.name, "found")
        record_home(agent, served, flow, home.target_id, now)
        _finish_opening(agent, served, flow, opening, now)
        return
    opening.awaited_targets.discard(packet.target_id)
    if not opening.awaited_targets:
        _finish_opening(agent, served, flow, opening, now)


def _learn_former_target(
    agent: Agent, served: ServedTarget, former: FormerTarget, now: float
) -> Target | None:
    """Record a removed target that a peer knows; return it if it is new here.

    A target whose host is no longer published is ignored, since packets from
    its agent would be dropped.
    """
    if (
        former.target_id == served.target.target_id
        or served.find_target(former.target_id, now) is not None
    ):
        return None
    address = Address(former.agent_ip, former.agent_port)
    for host in agent.view.hosts_by_id.values():
        if host.packets == address:
            target = replace(
                served.target,
                target_id=former.target_id,
                host_id=host.host_id,
                zone=host.zone,
                agent=address,
                upstream=Address(address.ip, served.target.upstream.port),
                state=State.LEAVING,
            )
            until = now + served.service.flow_idle
            served.former_targets_by_id[former.target_id] = target, until
            return target
    return None


def _finish_opening(
    agent: Agent, served: ServedTarget, flow: FlowKey, opening: Opening, now: float
) -> None:
    if served.openings_by_flow.get(flow) is not opening:
        return
    del served.openings_by_flow[flow]
    agent.actions.record(
        served.service.name, "flow", "opening", now - opening.started_at
    )
    for packet in opening.held:
        _serve_or_place(agent, served, flow, packet, now)


def serve_held_packets(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    held: deque[Forward],
    now: float,
) -> None:
    """Serve packets that were held, or forward them to the flow's home."""
    packets = list(held)
    held.clear()
    for packet in packets:
        _serve_or_place(agent, served, flow, packet, now)


def _serve_or_place(
    agent: Agent, served: ServedTarget, flow: FlowKey, packet: Forward, now: float
) -> None:
    record = served.records_by_flow.get(flow)
    home = find_home(agent, served, flow, now)
    if record is not None:
        serve_packet(agent, served, record, packet, now)
    elif home is not None:
        forward_packet(agent, served, packet, home, now)
    else:
        open_or_forward_flow(agent, served, flow, packet, now)


def open_or_forward_flow(
    agent: Agent, served: ServedTarget, flow: FlowKey, packet: Forward, now: float
) -> None:
    """Open a new flow here, forward it to another candidate, or refuse it."""
    if not may_open_flow(served, packet):
        agent.actions.count("dropped", served.service.name, "stray")
        return
    if _should_forward(agent, served, packet, now):
        successor = _next_candidate(agent, served, flow, packet, now)
        if successor is not None and forward_packet(
            agent, served, packet, successor, now
        ):
            record_home(agent, served, flow, successor.target_id, now)
            return
    if not _can_accept(agent, served) or not served.admission.admit_flow(now):
        refuse_flow(agent, served, packet, now)
        return
    balancer = Address(packet.balancer_ip, packet.balancer_port)
    record = open_record(agent, served, flow, balancer, now)
    announce_home(agent, served, [flow], now)
    serve_packet(agent, served, record, packet, now)


def _can_accept(agent: Agent, served: ServedTarget) -> bool:
    return (
        not served.must_move
        and not agent.stopping
        and len(served.records_by_flow) < agent.max_flows
    )


def _should_forward(
    agent: Agent, served: ServedTarget, packet: Forward, now: float
) -> bool:
    """Return whether a new flow should be forwarded to another candidate."""
    load = served.admission.load(now)
    if not _can_accept(agent, served) or load.flows >= load.connections:
        return True
    placement = place_flow(load, packet.hops, packet.candidates, served.peer_loads, now)
    return isinstance(placement, ForwardTo)


def may_open_flow(served: ServedTarget, packet: Forward) -> bool:
    """Return whether a datagram of an unknown flow may open the flow.

    An acknowledgement or a reset belongs to a flow that no longer exists.
    """
    if served.adapter is None:
        return True
    try:
        message = served.adapter.read_caller(packet.payload)
    except PacketError:
        return False
    return message.kind in (Kind.REQUEST, Kind.PING)


def _next_candidate(
    agent: Agent, served: ServedTarget, flow: FlowKey, packet: Forward, now: float
) -> Target | None:
    """Return the candidate that a new flow is forwarded to, or None.

    For a flow that could open here, this is the least busy candidate. For a
    flow that can't, it is the next candidate in the packet's order, in which
    the first candidate follows the last.
    """
    target_ids = list(packet.candidates) or [
        target.target_id for target in rank_flow(agent, served, flow)
    ]
    own = served.target.target_id
    position = target_ids.index(own) if own in target_ids else len(target_ids)
    following_ids = target_ids[position + 1 :] + target_ids[:position]
    if _can_accept(agent, served) and packet.hops < len(target_ids):
        load = served.admission.load(now)
        placement = place_flow(load, packet.hops, target_ids, served.peer_loads, now)
        if isinstance(placement, ForwardTo):
            following_ids = [target_ids[placement.index], *following_ids]
    suspected = suspected_targets(agent, served.service)
    for target_id in following_ids:
        target = served.service.targets_by_id.get(target_id)
        if (
            target is not None
            and target_id != own
            and target.state is State.LIVE
            and target_id not in suspected
        ):
            return target
    return None


def receive_home_notice(
    agent: Agent, served: ServedTarget, packet: HomeNotice, now: float
) -> None:
    """Record the home of flows whose first candidate this target is now."""
    if served.find_target(packet.home_target_id, now) is None:
        return
    for caller_ip, caller_port in packet.callers:
        flow = FlowKey(packet.service, caller_ip, caller_port)
        record = served.records_by_flow.get(flow)
        if record is not None:
            if record.feeds_by_token or record.requests_by_message_id:
                continue
            # The flow was opened here while its home was unreachable.
            agent.actions.count("flow", served.service.name, "yielded")
            close_record(agent, served, record, now)
        record_home(agent, served, flow, packet.home_target_id, now)
        opening = served.openings_by_flow.get(flow)
        if opening is not None:
            _finish_opening(agent, served, flow, opening, now)
