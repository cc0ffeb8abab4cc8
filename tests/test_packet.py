import pytest

from lycheeglade.errors import PacketError
from lycheeglade.packet import (
    Forward,
    HomeNotice,
    Ping,
    decode_packet,
    encode_packet,
)

FORWARD = Forward(
    "booth-sync", "a", 3, "127.0.0.9", 4000, ("a", "b"), 0, "127.1.0.1", 7100, b"x"
)


@pytest.mark.parametrize(
    "packet", [FORWARD, Ping(7), HomeNotice("s", "a", "b", (("127.0.0.9", 1),))]
)
def test_round_trip(packet):
    assert decode_packet(encode_packet(packet)) == packet


def test_every_truncation_is_refused():
    datagram = encode_packet(FORWARD)
    for length in range(len(datagram)):
        with pytest.raises(PacketError):
            decode_packet(datagram[:length])


def test_other_version_is_refused():
    with pytest.raises(PacketError, match="version"):
        decode_packet(b"\x02" + encode_packet(FORWARD)[1:])


def test_wrong_field_type_is_refused():
    with pytest.raises(PacketError, match="encoding"):
        decode_packet(b"\x01\x92\xa1I\xa1x")
