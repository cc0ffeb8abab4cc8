"""Answers the datagrams that the subject of a benchmark forwards."""

from collections.abc import Callable
from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket

from lycheeglade.address import Address
from lycheeglade.packet import Answer, decode_packet, encode_packet

BUFFER_BYTES = 4 * 1024 * 1024


def run_responder(address: Address, decodes_packets: bool) -> None:
    """Echo each datagram, or the payload of each packet of a balancer."""
    if decodes_packets:
        answer_packets(address, lambda payload: payload)
    else:
        answer_datagrams(address, lambda datagram: datagram)


def answer_packets(address: Address, answer_payload: Callable[[bytes], bytes]) -> None:
    """Answer packets that balancers forward, until the process terminates."""

    def answer(datagram: bytes) -> bytes:
        packet = decode_packet(datagram)
        return encode_packet(
            Answer(
                packet.service,
                packet.target_id,
                packet.caller_ip,
                packet.caller_port,
                answer_payload(packet.payload),
            )
        )

    answer_datagrams(address, answer)


def answer_datagrams(address: Address, answer: Callable[[bytes], bytes]) -> None:
    """Answer each datagram at `address` until the process terminates."""
    server = socket(AF_INET, SOCK_DGRAM)
    server.setsockopt(SOL_SOCKET, SO_RCVBUF, BUFFER_BYTES)
    server.bind(address)
    while True:
        datagram, source = server.recvfrom(65535)
        server.sendto(answer(datagram), source)
