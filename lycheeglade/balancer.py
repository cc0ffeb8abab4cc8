"""Event handlers of a balancer, the process on an entry host.

A balancer keeps no state that a flow depends on: the candidates of a flow
follow from the view alone, so any balancer can forward any packet.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil
from random import Random

from lycheeglade.adapters import find_adapter
from lycheeglade.address import Address, Zone
from lycheeglade.errors import PacketError
from lycheeglade.flow import FlowKey, hash_flow
from lycheeglade.membership import Membership, find_suspected_targets
from lycheeglade.overload import OverloadControl
from lycheeglade.packet import (
    MAX_DATAGRAM_BYTES,
    Answer,
    Forward,
    Packet,
    Ping,
    Pong,
    decode_packet,
    encode_packet,
    flow_of,
)
from lycheeglade.routing import CandidateCache
from lycheeglade.view import Service, View, find_agents

MAX_CACHED_BUCKETS = 32768
# Slots of the table. The flows answered within a minute should fill at most
# two thirds of them.
MAX_ESTABLISHED_FLOWS = 393_216
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - 2048


@dataclass(frozen=True, slots=True)
class BalancerActions:
    """Actions that a balancer's event handlers can take.

    Attributes
    ----------
    send : callable
        Send a datagram to a process of the system.
    answer : callable
        Send a datagram from a service's address to a caller.
    count : callable
        Count an event by name, service and cause.
    """

    send: Callable[[Address, bytes], None]
    answer: Callable[[str, Address, bytes], None]
    count: Callable[[str, str, str], None]


@dataclass(slots=True)
class Balancer:
    """State of one balancer."""

    host_id: str
    zone: Zone
    packets: Address
    actions: BalancerActions
    generator: Random
    membership: Membership
    overload: OverloadControl
    view: View = field(default_factory=View)
    candidates: CandidateCache = field(
        default_factory=lambda: CandidateCache(MAX_CACHED_BUCKETS)
    )
    suspects: frozenset[Address] = frozenset()
    confirmed: frozenset[Address] = frozenset()
    suspects_by_service: dict[str, frozenset[str]] = field(default_factory=dict)
    agents_by_service: dict[str, frozenset[Address]] = field(default_factory=dict)
    agents: frozenset[Address] = frozenset()
    known_addresses: frozenset[Address] = frozenset()


def make_balancer(
    host_id: str,
    zone: Zone,
    packets: Address,
    actions: BalancerActions,
    generator: Random,
) -> Balancer:
    """Return the initial state of a balancer."""
    return Balancer(
        host_id,
        zone,
        packets,
        actions,
        generator,
        Membership(generator),
        OverloadControl(MAX_ESTABLISHED_FLOWS, generator),
    )


def update_view(balancer: Balancer, view: View) -> None:
    """Apply a newer view.

    If that fails, the previous view stays, so that the same view can be
    applied again.
    """
    previous, before = balancer.view, balancer.agents_by_service
    balancer.view = view
    try:
        _update_agents(balancer, previous)
    except Exception:
        balancer.view, balancer.agents_by_service = previous, before
        raise


def _update_agents(balancer: Balancer, previous: View) -> None:
    view, before = balancer.view, balancer.agents_by_service
    after = find_agents(view, previous, before)
    balancer.agents_by_service = after
    agents_differ = before.keys() != after.keys() or any(
        before[name] is not agents for name, agents in after.items()
    )
    if agents_differ:
        balancer.agents = frozenset().union(*after.values())
        balancer.membership.set_peers(balancer.agents)
    if agents_differ or view.hosts_by_id != previous.hosts_by_id:
        hosts = {host.packets for host in view.hosts_by_id.values()}
        balancer.known_addresses = balancer.agents | hosts
    _update_suspects(balancer)


def _update_suspects(balancer: Balancer) -> None:
    balancer.suspects_by_service = {}
    if balancer.suspects:
        for name, service in balancer.view.services_by_name.items():
            suspected = find_suspected_targets(
                service, balancer.suspects, balancer.confirmed
            )
            if suspected:
                balancer.suspects_by_service[name] = suspected


def may_carry(balancer: Balancer, service: Service) -> bool:
    """Return whether this balancer's zone is among the service's places."""
    return service.permits(balancer.zone)


def receive_from_caller(
    balancer: Balancer, service_name: str, caller: Address, datagram: bytes, now: float
) -> None:
    """Forward a caller's datagram to the first candidate, or drop it."""
    service = balancer.view.services_by_name.get(service_name)
    if service is None:
        balancer.actions.count("dropped", service_name, "no-service")
        return
    if not service.permits(balancer.zone):
        balancer.actions.count("dropped", service_name, "forbidden-place")
        return
    if len(datagram) > MAX_PAYLOAD_BYTES:
        balancer.actions.count("malformed", service_name, "oversized")
        return
    flow = FlowKey(service_name, caller[0], caller[1])
    if not balancer.overload.admits(flow, now):
        _refuse_flow(balancer, service, caller, datagram, now)
        return
    suspected = balancer.suspects_by_service.get(service_name, frozenset())
    candidates = balancer.candidates.rank(service, hash_flow(flow), suspected)
    if not candidates:
        balancer.actions.count("dropped", service_name, "no-candidate")
        return
    first = candidates[0]
    packet = Forward(
        service_name,
        first.target_id,
        service.revision,
        caller[0],
        caller[1],
        tuple([target.target_id for target in candidates]),
        0,
        balancer.packets.ip,
        balancer.packets.port,
        datagram,
    )
    balancer.membership.record_sent(first.agent, now)
    balancer.actions.send(first.agent, encode_packet(packet))


def _refuse_flow(
    balancer: Balancer, service: Service, caller: Address, datagram: bytes, now: float
) -> None:
    """Answer a request of a new flow with an overload response.

    The response doesn't say that the request was not run, since a copy of it
    may have passed through another balancer.
    """
    balancer.actions.count("refused", service.name, "overload")
    adapter = find_adapter(service.protocol)
    if adapter is None:
        return
    retry_after = ceil(balancer.overload.retry_after(now))
    answer = adapter.write_overload(datagram, retry_after)
    if answer is not None:
        balancer.actions.answer(service.name, caller, answer)


def receive_datagram(
    balancer: Balancer, datagram: bytes, source: Address, now: float
) -> None:
    """Handle a datagram from another process of the system, or drop it."""
    if source not in balancer.known_addresses:
        balancer.actions.count("dropped", "", "unknown-source")
        return
    try:
        packet = decode_packet(datagram)
    except PacketError as error:
        balancer.actions.count("malformed", "", error.cause)
        return
    receive_packet(balancer, packet, source, now)


def receive_packet(
    balancer: Balancer, packet: Packet, source: Address, now: float
) -> None:
    """Dispatch a packet from another process of the system."""
    balancer.membership.record_received(
        source, now, answers=not isinstance(packet, Ping)
    )
    if isinstance(packet, Answer):
        _answer_caller(balancer, packet, source, now)
    elif isinstance(packet, Ping):
        balancer.actions.send(source, encode_packet(Pong(packet.nonce)))
    elif not isinstance(packet, Pong):
        balancer.actions.count("dropped", "", "wrong-kind")


def _answer_caller(
    balancer: Balancer, packet: Answer, source: Address, now: float
) -> None:
    if source not in balancer.agents_by_service.get(packet.service, ()):
        balancer.actions.count("dropped", packet.service, "not-its-agent")
        return
    service = balancer.view.services_by_name[packet.service]
    if not service.permits(balancer.zone):
        balancer.actions.count("dropped", packet.service, "forbidden-place")
        return
    caller = Address(packet.caller_ip, packet.caller_port)
    flow = flow_of(packet)
    balancer.overload.established.record_answer(flow, now)
    balancer.actions.answer(packet.service, caller, packet.payload)


def tick(balancer: Balancer, now: float) -> None:
    """Send due pings and update the suspects.

    The function must be called several times a second.
    """
    for address in balancer.membership.collect_pings(now):
        nonce = balancer.generator.getrandbits(32)
        balancer.actions.send(address, encode_packet(Ping(nonce)))
    suspects = balancer.membership.suspects(now)
    confirmed = balancer.membership.confirmed_suspects(now)
    if suspects != balancer.suspects or confirmed != balancer.confirmed:
        balancer.suspects = suspects
        balancer.confirmed = confirmed
        _update_suspects(balancer)
