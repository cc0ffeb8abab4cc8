"""Event handlers of an agent, the process on the host of its upstreams.

The agent makes the final check of every packet: it serves only its own
targets, and only in places where their services may be handled. All functions
take the current time as a parameter and act only through `AgentActions`.
"""

from collections.abc import Callable
from itertools import count
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.agent_state import (
    Agent,
    AgentActions,
    make_served_target,
    update_known_addresses,
)
from lycheeglade.delegation import (
    delegate_running_requests,
    fail_stuck_requests,
    receive_delegate,
    receive_delegate_reply,
    reoffer_oldest_queued,
)
from lycheeglade.errors import PacketError
from lycheeglade.exchange import (
    end_running_requests,
    expire_queued_requests,
    refuse_queued_requests,
    start_queued,
)
from lycheeglade.feed import refuse_registrations, renew_registrations
from lycheeglade.flow import FlowKey
from lycheeglade.handoff import (
    move_flows,
    receive_handoff_done,
    receive_handoff_ready,
    start_drain,
    stop_drain,
)
from lycheeglade.home import (
    receive_forward,
    receive_home_notice,
    receive_probe,
    receive_probe_reply,
)
from lycheeglade.isolation import check_isolation, record_packet
from lycheeglade.membership import Membership
from lycheeglade.notice import announce_home
from lycheeglade.packet import (
    Delegate,
    DelegateReply,
    Forward,
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
    HomeNotice,
    Packet,
    Ping,
    Pong,
    Probe,
    ProbeReply,
    decode_packet,
)
from lycheeglade.served_target import ServedTarget, TargetKey
from lycheeglade.session import receive_upstream_datagram
from lycheeglade.staleness import defer_input, detect_stale_view
from lycheeglade.takeover import receive_handoff_commit, receive_handoff_offer
from lycheeglade.upstream_health import (
    check_upstream,
    handle_port_closed,
    record_upstream_datagram,
)
from lycheeglade.view import Service, State, Target, View

TICKET_KEY_BYTES = 32
MAX_FIRST_ID = 1 << 48


def make_agent(
    host_id: str,
    zone: Zone,
    actions: AgentActions,
    generator: Random,
    max_flows: int,
    now: float,
) -> Agent:
    """Return the initial state of an agent.

    Parameters
    ----------
    generator : Random
        Source of the incarnation and the ticket key. Outside tests it must be
        unpredictable.
    """
    return Agent(
        host_id=host_id,
        zone=zone,
        incarnation=generator.getrandbits(64),
        key=generator.randbytes(TICKET_KEY_BYTES),
        actions=actions,
        generator=generator,
        membership=Membership(generator),
        id_counter=count(generator.randrange(MAX_FIRST_ID)),
        started_at=now,
        max_flows=max_flows,
    )


def update_view(agent: Agent, view: View, now: float) -> None:
    """Apply a newer view.

    If that fails, the previous view stays, so that the same view can be
    applied again.
    """
    update_known_addresses(agent, view)
    previous, agent.view = agent.view, view
    try:
        _update_targets(agent, previous, now)
    except Exception:
        agent.view = previous
        raise


def _update_targets(agent: Agent, previous: View, now: float) -> None:
    view = agent.view
    own_names = {key.service for key in agent.served_by_key}
    peers = set()
    wanted = {}
    for name, service in view.services_by_name.items():
        is_known = previous.services_by_name.get(name) is service
        if is_known and name not in own_names:
            continue
        own_targets = [
            target
            for target in service.targets_by_id.values()
            if target.host_id == agent.host_id
        ]
        for target in own_targets:
            wanted[TargetKey(name, target.target_id)] = (service, target)
        if own_targets:
            peers.update(agent.agents_by_service[name])
    # The agent doesn't watch itself: packets that it sends to itself always
    # arrive and say nothing about the network.
    peers.difference_update(target.agent for _, target in wanted.values())
    agent.membership.set_peers(peers)
    for key, (service, target) in wanted.items():
        _update_target(agent, key, service, target, now)
    for key in list(agent.served_by_key):
        if key not in wanted:
            _remove_target(agent, key, view, now)


def _update_target(
    agent: Agent, key: TargetKey, service: Service, target: Target, now: float
) -> None:
    served = agent.served_by_key.get(key)
    if served is None:
        served = make_served_target(agent, service, target, now)
        agent.served_by_key[key] = served
        agent.actions.count("target", service.name, "added")
    elif served.service != service:
        served.update_service(service, now)
        served.target = target
        served.peer_loads.retain(list(service.targets_by_id))
        served.settled_at = now + service.flow_idle
        announce_home(agent, served, list(served.records_by_flow), now)
    served.removed_at = None
    may_serve = target.state is State.LIVE and service.permits(agent.zone)
    if agent.stopping or not may_serve:
        start_drain(agent, served, now)
    elif served.draining:
        stop_drain(served, now)


def _remove_target(agent: Agent, key: TargetKey, view: View, now: float) -> None:
    """Drain a target that is no longer published, then delete its state.

    The target forwards packets for `flow_idle` seconds after its removal,
    since other agents may regard it as the home of flows until then.
    """
    served = agent.served_by_key[key]
    service = view.services_by_name.get(key.service)
    if service is not None:
        served.update_service(service, now)
    if served.removed_at is None:
        served.removed_at = now
    start_drain(agent, served, now)
    is_asked = service is not None and now < served.removed_at + service.flow_idle
    if not served.has_flows and not is_asked:
        del agent.served_by_key[key]
        agent.actions.count("target", key.service, "removed")
    elif not served.is_removal_due:
        served.is_removal_due = True
        agent.timers.call_at(now + 1.0, lambda now: _retry_removal(agent, key, now))


def _retry_removal(agent: Agent, key: TargetKey, now: float) -> None:
    if key in agent.served_by_key:
        agent.served_by_key[key].is_removal_due = False
    service = agent.view.services_by_name.get(key.service)
    if key in agent.served_by_key and (
        service is None or key.target_id not in service.targets_by_id
    ):
        _remove_target(agent, key, agent.view, now)


def receive_datagram(
    agent: Agent, datagram: bytes, source: Address, now: float
) -> None:
    """Handle a datagram from another process of the system, or drop it."""
    if detect_stale_view(agent, now):
        defer_input(agent, lambda now: receive_datagram(agent, datagram, source, now))
        return
    if source not in agent.known_addresses:
        agent.actions.count("dropped", "", "unknown-source")
        return
    try:
        packet = decode_packet(datagram)
    except PacketError as error:
        agent.actions.count("malformed", "", error.cause)
        return
    receive_packet(agent, packet, source, now)


def receive_packet(agent: Agent, packet: Packet, source: Address, now: float) -> None:
    """Dispatch a packet from another process of the system."""
    is_from_balancer = source in agent.balancer_zones_by_address
    record_packet(agent.isolation, packet, is_from_balancer, now)
    if is_from_balancer:
        agent.last_heard_by_balancer[source] = now
        agent.last_heard_by_balancer.move_to_end(source)
    is_reply = isinstance(packet, (Pong, ProbeReply, DelegateReply))
    agent.membership.record_received(source, now, answers=is_reply)
    if isinstance(packet, Ping):
        agent.actions.send(source, Pong(packet.nonce))
        return
    if isinstance(packet, Pong):
        return
    if isinstance(packet, ProbeReply):
        _receive_probe_reply(agent, packet, now)
        return
    handler = HANDLERS_BY_KIND.get(type(packet))
    if handler is None:
        agent.actions.count("dropped", "", "wrong-kind")
        return
    served = _find_served(agent, packet)
    if served is None:
        agent.actions.count("dropped", "", "not-served-here")
        return
    if not _may_handle(agent, served):
        agent.actions.count("dropped", served.service.name, "forbidden-place")
        return
    if served.adapter is None and isinstance(packet, DECODED_KINDS):
        agent.actions.count("dropped", served.service.name, "wrong-kind")
        return
    try:
        handler(agent, served, packet, source, now)
    except PacketError as error:
        agent.actions.count("malformed", served.service.name, error.cause)


def _find_served(agent: Agent, packet: Packet) -> ServedTarget | None:
    """Return the served target that a packet names, or None."""
    return agent.served_by_key.get(TargetKey(packet.service, packet.target_id))


def _may_handle(agent: Agent, served: ServedTarget) -> bool:
    """Return whether the service may be handled in this host's zone."""
    return served.service.permits(agent.zone)


def _receive_probe_reply(agent: Agent, packet: ProbeReply, now: float) -> None:
    for served in list(agent.served_by_key.values()):
        if served.service.name == packet.service:
            receive_probe_reply(agent, served, packet, now)


Handler = Callable[[Agent, ServedTarget, Packet, Address, float], None]


def _without_source(function: Callable) -> Handler:
    return lambda agent, served, packet, source, now: function(
        agent, served, packet, now
    )


HANDLERS_BY_KIND: dict[type, Handler] = {
    Forward: receive_forward,
    Probe: receive_probe,
    HomeNotice: _without_source(receive_home_notice),
    Delegate: receive_delegate,
    DelegateReply: _without_source(receive_delegate_reply),
    HandoffOffer: receive_handoff_offer,
    HandoffReady: _without_source(receive_handoff_ready),
    HandoffCommit: receive_handoff_commit,
    HandoffDone: lambda agent, served, packet, source, now: receive_handoff_done(
        served, packet
    ),
}


# Packets whose payload must be decoded by the target's protocol adapter.
DECODED_KINDS = (Delegate, DelegateReply, HandoffOffer, HandoffReady, HandoffCommit)


def receive_from_upstream(
    agent: Agent, key: TargetKey, flow: FlowKey | None, datagram: bytes, now: float
) -> None:
    """Handle a datagram from an upstream."""
    if detect_stale_view(agent, now):
        defer_input(
            agent, lambda now: receive_from_upstream(agent, key, flow, datagram, now)
        )
        return
    served = agent.served_by_key.get(key)
    if served is None:
        return
    if record_upstream_datagram(served, now):
        agent.actions.count("upstream", served.service.name, "back")
        renew_registrations(agent, served, now)
    receive_upstream_datagram(agent, served, flow, datagram, now)


def receive_upstream_failure(agent: Agent, key: TargetKey, now: float) -> None:
    """Handle the report that an upstream's port is closed."""
    served = agent.served_by_key.get(key)
    if served is None:
        return
    agent.actions.count("upstream", served.service.name, "port-closed")
    end_running_requests(agent, served, now)
    if handle_port_closed(served, now):
        _handle_upstream_down(agent, served, now)


def _handle_upstream_down(agent: Agent, served: ServedTarget, now: float) -> None:
    """Refuse the work that waits for a failed upstream and move its flows."""
    agent.actions.count("upstream", served.service.name, "down")
    refuse_queued_requests(agent, served, now)
    refuse_registrations(agent, served)
    delegate_running_requests(agent, served, now)
    move_flows(agent, served, now)


def tick(agent: Agent, now: float) -> None:
    """Run the due timers and periodic checks.

    The function must be called several times a second. All targets are
    checked, also if a check fails.

    Raises
    ------
    ExceptionGroup
        Errors of the checks of the targets.
    """
    if agent.is_view_stale:
        return
    agent.last_tick_at = now
    agent.timers.run_due(now)
    for address in agent.membership.collect_pings(now):
        agent.actions.send(address, Ping(agent.next_id()))
    agent.suspects = agent.membership.suspects(now)
    agent.confirmed = agent.membership.confirmed_suspects(now)
    _check_isolation(agent, now)
    errors = []
    for served in agent.served_by_key.values():
        try:
            _tick_target(agent, served, now)
        except Exception as error:
            errors.append(error)
    if errors:
        raise ExceptionGroup("checks of targets failed", errors)


def _tick_target(agent: Agent, served: ServedTarget, now: float) -> None:
    if served.requests_by_id:
        expire_queued_requests(agent, served, now)
        start_queued(agent, served, now)
        reoffer_oldest_queued(agent, served, now)
        fail_stuck_requests(agent, served, now)
    if check_upstream(agent, served, now):
        _handle_upstream_down(agent, served, now)


def _check_isolation(agent: Agent, now: float) -> None:
    """Start to move all flows to peers when the agent becomes isolated."""
    if not check_isolation(agent, now):
        return
    is_isolated = agent.isolation.is_isolated
    agent.actions.count("isolation", "", "begun" if is_isolated else "ended")
    for served in agent.served_by_key.values():
        served.is_isolated = is_isolated
        if is_isolated:
            move_flows(agent, served, now)


def begin_stop(agent: Agent, now: float) -> None:
    """Drain all targets before the process exits."""
    agent.stopping = True
    for served in agent.served_by_key.values():
        start_drain(agent, served, now)


def count_pending_work(agent: Agent) -> int:
    """Return the number of flows with work or a handoff in progress."""
    return sum(
        len(served.outgoing_by_id)
        + len(served.incoming_by_flow)
        + sum(
            bool(record.feeds_by_token or record.requests_by_message_id)
            for record in served.records_by_flow.values()
        )
        for served in agent.served_by_key.values()
    )
