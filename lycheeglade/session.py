"""Datagrams of flows whose home is a target of this agent."""

from collections import deque

from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, answer_caller
from lycheeglade.errors import PacketError
from lycheeglade.exchange import receive_response
from lycheeglade.feed import (
    close_feed,
    drop_feed,
    open_feed,
    receive_acknowledgement,
    receive_notification,
    receive_reset,
)
from lycheeglade.flow import FlowKey
from lycheeglade.intake import serve_request
from lycheeglade.message import FeedAction, Kind
from lycheeglade.packet import Forward
from lycheeglade.served_target import (
    MAX_HELD_PACKETS,
    MESSAGE_ID_MODULUS,
    FlowRecord,
    ServedTarget,
)
from lycheeglade.upstream_health import record_upstream_response


def hold_packet(
    agent: Agent, served: ServedTarget, held: deque[Forward], packet: Forward
) -> None:
    """Hold a packet until its flow's home is known.

    The packet is dropped if `MAX_HELD_PACKETS` are held already.
    """
    if len(held) >= MAX_HELD_PACKETS:
        agent.actions.count("dropped", served.service.name, "held-limit")
    else:
        held.append(packet)


def open_record(
    agent: Agent, served: ServedTarget, flow: FlowKey, balancer: Address, now: float
) -> FlowRecord:
    """Make this target the home of `flow`."""
    record = FlowRecord(
        flow=flow,
        balancer=balancer,
        opened_at=now,
        last_heard_at=now,
        next_message_id=agent.generator.randrange(MESSAGE_ID_MODULUS),
    )
    served.records_by_flow[flow] = record
    served.homes_by_flow.pop(flow, None)
    agent.actions.count("flow", served.service.name, "opened")
    _schedule_idle_check(agent, served, record, now + served.service.flow_idle)
    return record


def _schedule_idle_check(
    agent: Agent, served: ServedTarget, record: FlowRecord, due: float
) -> None:
    agent.timers.call_at(due, lambda now: _expire_idle(agent, served, record, now))


def _expire_idle(
    agent: Agent, served: ServedTarget, record: FlowRecord, now: float
) -> None:
    if served.records_by_flow.get(record.flow) is not record:
        return
    due = record.last_heard_at + served.service.flow_idle
    if record.feeds_by_token or record.requests_by_message_id:
        due = max(due, now + served.service.flow_idle / 4)
    if now < due:
        _schedule_idle_check(agent, served, record, due)
        return
    agent.actions.count("flow", served.service.name, "idle")
    close_record(agent, served, record, now)


def close_record(
    agent: Agent, served: ServedTarget, record: FlowRecord, now: float
) -> None:
    """Close a flow and delete its record."""
    for feed in list(record.feeds_by_token.values()):
        drop_feed(agent, served, feed)
    if served.records_by_flow.pop(record.flow, None) is not None:
        served.admission.release_flow()
    if served.adapter is None:
        agent.actions.close_upstream(served.key, record.flow)


def serve_packet(
    agent: Agent, served: ServedTarget, record: FlowRecord, packet: Forward, now: float
) -> None:
    """Serve one datagram of a flow whose home is this target."""
    record.last_heard_at = now
    record.balancer = Address(packet.balancer_ip, packet.balancer_port)
    if record.leaving:
        hold_packet(agent, served, record.held, packet)
        return
    if served.adapter is None:
        agent.actions.send_upstream(served.key, record.flow, packet.payload)
        return
    try:
        message = served.adapter.read_caller(packet.payload)
    except PacketError as error:
        agent.actions.count("malformed", served.service.name, error.cause)
        return
    if message.kind is Kind.ACKNOWLEDGEMENT:
        receive_acknowledgement(agent, served, record, message.message_id, now)
    elif message.kind is Kind.RESET:
        receive_reset(agent, served, record, message.message_id)
    elif message.kind is Kind.PING:
        if message.reliable:
            datagram = served.adapter.write_reset(message.message_id)
            answer_caller(agent, served, record, datagram)
    elif message.feed is FeedAction.OPEN:
        open_feed(agent, served, record, message, now)
    else:
        if message.feed is FeedAction.CLOSE:
            close_feed(agent, served, record, message.token)
        serve_request(agent, served, record, message, now)


def receive_upstream_datagram(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey | None,
    datagram: bytes,
    now: float,
) -> None:
    """Handle a datagram from the target's upstream."""
    if served.adapter is None:
        record = served.records_by_flow.get(flow)
        if record is not None:
            answer_caller(agent, served, record, datagram)
        return
    try:
        message = served.adapter.read_upstream(datagram)
    except PacketError as error:
        agent.actions.count("malformed", served.service.name, error.cause)
        return
    if message.kind is not Kind.RESPONSE:
        return
    record_upstream_response(served, now)
    is_known = receive_response(agent, served, message, now) or receive_notification(
        agent, served, message, now
    )
    if message.reliable:
        write = (
            served.adapter.write_acknowledgement
            if is_known
            else served.adapter.write_reset
        )
        agent.actions.send_upstream(served.key, None, write(message.message_id))
    if not is_known:
        agent.actions.count("answer-dropped", served.service.name, "no-request")
