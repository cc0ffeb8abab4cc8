"""Relay that injects faults into datagrams between the processes.

    python -m demo.relay --hosts 127.10.1.1,127.10.20.1 --packets-port 7100 \
        --port 7150 --control 127.10.0.4:9000

Each host's packets address is published with the relay's port instead of the
port at which its process listens. The relay forwards each datagram from its
socket on the sender's host, so that processes see only published addresses. A
balancer writes its own port into each forwarded caller datagram; the relay
replaces it with the published port, so that answers also pass the relay.

The control socket accepts JSON commands, see `Relay.run_command`.
"""

from argparse import ArgumentParser
from asyncio import CancelledError, get_running_loop, run
from collections import Counter
from contextlib import suppress
from dataclasses import asdict
from functools import partial
from random import Random
from signal import SIGINT, SIGTERM

from msgspec.structs import replace
from uvloop import install

from demo.fault import NO_FAULT, ControlSocket, Fault, deliver
from lycheeglade.address import Address, parse_address
from lycheeglade.errors import PacketError
from lycheeglade.packet import Forward, decode_packet, encode_packet
from lycheeglade.transport import DatagramSocket

ANY = "*"


class Relay:
    """Sockets and faults of the relay by host IP.

    Parameters
    ----------
    host_ips : list of str
        IPs at each of which the relay opens a socket.
    packets_port, port : int
        Ports at which the processes and the relay listen.
    """

    def __init__(self, host_ips, packets_port: int, port: int, generator: Random):
        self.counters = Counter()
        self._packets_port = packets_port
        self._port = port
        self._generator = generator
        self._faults_by_pair: dict[tuple[str, str], Fault] = {}
        self._sockets_by_ip = {
            ip: DatagramSocket(
                get_running_loop(),
                partial(self._handle_datagram, ip),
                local=Address(ip, port),
            )
            for ip in host_ips
        }

    def _handle_datagram(self, to_ip: str, datagram: bytes, source: tuple) -> None:
        from_ip = source[0]
        if from_ip not in self._sockets_by_ip or source[1] != self._packets_port:
            self.counters["stranger"] += 1
            return
        self.counters["datagrams"] += 1
        self.counters["bytes"] += len(datagram)
        datagram = self._replace_balancer_port(datagram)
        socket = self._sockets_by_ip[from_ip]
        address = (to_ip, self._packets_port)
        fault = self._find_fault(from_ip, to_ip)
        deliver(
            fault,
            partial(socket.send, datagram, address),
            self._generator,
            self.counters,
        )

    def _replace_balancer_port(self, datagram: bytes) -> bytes:
        try:
            packet = decode_packet(datagram)
        except PacketError:
            return datagram
        if not isinstance(packet, Forward) or packet.balancer_port == self._port:
            return datagram
        return encode_packet(replace(packet, balancer_port=self._port))

    def _find_fault(self, from_ip: str, to_ip: str) -> Fault:
        if not self._faults_by_pair:
            return NO_FAULT
        for pair in ((from_ip, to_ip), (from_ip, ANY), (ANY, to_ip), (ANY, ANY)):
            fault = self._faults_by_pair.get(pair)
            if fault is not None:
                return fault
        return NO_FAULT

    def run_command(self, command: dict) -> dict:
        """Run a control command.

        ``{"command": "fault", "from": IP, "to": IP}`` with the fields of
        `Fault` sets a fault in one direction between two hosts, where ``*``
        stands for any host; ``"heal"`` removes all faults; ``"counters"``
        changes nothing. Each command returns the counters and faults.
        """
        match command:
            case {"command": "fault", "from": from_ip, "to": to_ip, **fields}:
                self._faults_by_pair[from_ip, to_ip] = Fault(**fields)
            case {"command": "heal"}:
                self._faults_by_pair.clear()
            case {"command": "counters"}:
                pass
            case _:
                return {"error": f"unknown command {command!r}"}
        faults = {
            " ".join(pair): asdict(fault)
            for pair, fault in self._faults_by_pair.items()
        }
        return {"counters": dict(self.counters), "faults": faults}


async def run_relay(arguments) -> None:
    """Run until a signal ends the process."""
    loop = get_running_loop()
    stopped = loop.create_future()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stopped.cancel)
    generator = Random(arguments.seed)
    hosts = arguments.hosts.split(",")
    relay = Relay(hosts, arguments.packets_port, arguments.port, generator)
    await loop.create_datagram_endpoint(
        lambda: ControlSocket(relay.run_command),
        local_addr=parse_address(arguments.control),
    )
    print("ready", flush=True)
    await stopped


def main() -> None:
    """Run the program."""
    parser = ArgumentParser(prog="demo.relay")
    parser.add_argument("--hosts", required=True, help="IP,IP,...")
    parser.add_argument("--packets-port", type=int, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control", required=True, help="IP:PORT")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    install()
    with suppress(CancelledError):
        run(run_relay(arguments))


if __name__ == "__main__":
    main()
