from dataclasses import replace
from itertools import pairwise

import pytest
from aiocoap import Code, Message, Type

from lycheeglade.address import Address
from lycheeglade.agent import (
    receive_datagram,
    receive_from_upstream,
    tick,
    update_view,
)
from lycheeglade.packet import Answer, Forward, encode_packet
from lycheeglade.view import Host, Role
from tests.agents import BALANCER, LOCAL_ZONE, TARGET_KEY, make_view

TOKEN = b"\x07"


def register(state, message_id, now):
    message = Message(code=Code.GET, uri_path=("feed",), observe=0)
    message.mtype, message.mid, message.token = Type.CON, message_id, TOKEN
    packet = Forward(
        "booth-sync",
        "t1",
        1,
        "127.9.0.1",
        4000,
        ("t1",),
        0,
        *BALANCER,
        message.encode(),
    )
    receive_datagram(state, encode_packet(packet), BALANCER, now)


def send_item(state, recorder, item, now):
    _, registration = recorder.upstream[0]
    message = Message(code=Code.CONTENT, payload=item, observe=1, etag=item)
    message.mtype, message.mid = Type.NON, 1
    message.token = Message.decode(registration).token
    receive_from_upstream(state, TARGET_KEY, None, message.encode(), now)


def answer_sequences(recorder):
    return [Message.decode(a.payload).opt.observe for a in recorder.answers()]


@pytest.mark.parametrize(("message_id", "is_copy"), [(5, True), (6, False)])
def test_copy_of_a_registration_has_no_sequence_number_of_its_own(
    agent, recorder, message_id, is_copy
):
    # A caller whose registration was duplicated received the same item twice,
    # under two sequence numbers.
    register(agent, 5, 0.0)
    send_item(agent, recorder, b"first", 0.1)
    tick(agent, 0.2)
    register(agent, message_id, 0.2)
    first, second = answer_sequences(recorder)
    assert (first == second) is is_copy


def test_notification_is_never_sent_twice_running_by_the_same_balancer(agent, recorder):
    balancers = {BALANCER, *(Address(f"127.1.0.{name}", 7100) for name in "23")}
    view = make_view(2)
    hosts = {
        address.ip: Host(address.ip, Role.BALANCER, LOCAL_ZONE, address, address)
        for address in balancers
    }
    update_view(agent, replace(view, hosts_by_id=hosts), 0.0)
    register(agent, 5, 0.0)
    send_item(agent, recorder, b"first", 0.1)
    send_item(agent, recorder, b"second", 0.2)
    (record,) = agent.served_by_key[TARGET_KEY].records_by_flow.values()
    used = []
    for step in range(1000):
        recorder.sent.clear()
        tick(agent, 0.2 + step * 0.02)
        for address, packet in recorder.sent:
            if isinstance(packet, Answer):
                used.append(address)
                # The caller's requests arrive through the same balancer.
                record.balancer = address
    assert set(used) == balancers
    assert all(first != second for first, second in pairwise(used))
