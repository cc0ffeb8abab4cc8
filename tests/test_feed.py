import pytest
from aiocoap import Code, Message, Type

from lycheeglade.agent import receive_datagram, receive_from_upstream, tick
from lycheeglade.packet import Forward, encode_packet
from tests.agents import BALANCER, KEY

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
    receive_from_upstream(state, KEY, None, message.encode(), now)


def sequences(recorder):
    return [Message.decode(a.payload).opt.observe for a in recorder.answers()]


@pytest.mark.parametrize(("message_id", "is_copy"), [(5, True), (6, False)])
def test_copy_of_a_registration_has_no_sequence_number_of_its_own(
    agent, recorder, message_id, is_copy
):
    # The caller took the same item twice if its registration was doubled.
    register(agent, 5, 0.0)
    send_item(agent, recorder, b"first", 0.1)
    tick(agent, 0.2)
    register(agent, message_id, 0.2)
    first, second = sequences(recorder)
    assert (first == second) is is_copy
