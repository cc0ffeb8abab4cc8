import pytest
from aiocoap import Code, Message, Type
from hypothesis import given
from hypothesis import strategies as st

from lycheeglade import coap


@st.composite
def messages(draw):
    codes = (Code.GET, Code.POST, Code.FETCH, Code.EMPTY, Code.CONTENT)
    message = Message(code=draw(st.sampled_from(codes)), payload=draw(st.binary()))
    if message.code is Code.EMPTY:
        message.payload = b""
    else:
        message.token = draw(st.binary(max_size=8))
        message.opt.uri_path = draw(st.lists(st.text(max_size=20), max_size=3))
        message.opt.uri_query = draw(st.lists(st.text(max_size=20), max_size=2))
        message.opt.observe = draw(st.none() | st.integers(0, 1))
        message.opt.echo = draw(st.none() | st.binary(min_size=1, max_size=40))
    message.mtype = draw(st.sampled_from(Type))
    message.mid = draw(st.integers(0, 65535))
    return message


@given(messages(), st.integers(0, 300))
def test_overload_is_answered_as_the_codec_would(message, retry_after):
    is_request = message.code.is_request() and message.mtype in (Type.CON, Type.NON)
    expected = None
    if is_request and message.opt.echo is None:
        answer = Message(code=Code.TOO_MANY_REQUESTS, max_age=retry_after)
        answer.mtype = Type.ACK if message.mtype is Type.CON else Type.NON
        answer.mid, answer.token = message.mid, message.token
        expected = answer.encode()
    assert coap.write_overload(message.encode(), retry_after) == expected


@given(st.binary(max_size=60))
def test_any_datagram_is_answered_whole_or_not_at_all(datagram):
    answer = coap.write_overload(datagram, 3)
    if answer is not None:
        message = Message.decode(answer)
        assert message.mid.to_bytes(2, "big") == datagram[2:4]
        assert message.token == datagram[4 : 4 + (datagram[0] & 15)]


def test_overload_is_answered_without_the_codec(monkeypatch):
    # With decoding and encoding, a refusal took eight times as long as
    # forwarding the request.
    def fail(*arguments):
        pytest.fail("write_overload called the codec")

    monkeypatch.setattr(coap, "_decode", fail)
    monkeypatch.setattr(coap, "_encode", fail)
    assert (
        coap.write_overload(b"\x40\x01\x00\x07", 3) == b"\x60\x9d\x00\x07\xd1\x01\x03"
    )
