"""Simulated network fabric that spreads packets over the balancers.

    python -m demo.fabric --map 127.10.0.1:5683=127.1.0.1:5683,127.1.0.2:5683 \
        --control 127.0.0.3:9000 --seed 7

The fabric selects a balancer for each packet, not for each flow. Each caller's
flow has its own socket towards the balancers. The control socket accepts JSON
commands, see `Fabric.run_command`.
"""

from argparse import ArgumentParser
from asyncio import CancelledError, DatagramProtocol, get_running_loop, run
from collections import Counter
from contextlib import suppress
from dataclasses import asdict
from json import dumps
from random import Random
from signal import SIGINT, SIGTERM

from uvloop import install

from demo.fault import NO_FAULT, ControlSocket, Fault, deliver
from lycheeglade.address import Address, parse_address

SOCKET_BUFFER_BYTES = 1 << 20


class ServiceSocket(DatagramProtocol):
    """Socket on a service's address."""

    def __init__(self, fabric, service: Address):
        self._fabric = fabric
        self._service = service
        self.transport = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def error_received(self, exc):
        """Ignore an ICMP error."""

    def datagram_received(self, datagram, remote):
        """Forward a caller's packet to a balancer."""
        self._fabric.handle_caller_packet(self._service, remote, datagram)


class Flow(DatagramProtocol):
    """Socket of one caller's flow towards the balancers."""

    def __init__(self, fabric, service: Address, caller):
        self._fabric = fabric
        self.service = service
        self.caller = caller
        self.transport = None
        self.opening = None
        self.forgotten = False
        self.queued_datagrams = []

    def connection_made(self, transport):
        """Store the transport and send the packets queued for it."""
        self.transport = transport
        for datagram in self.queued_datagrams:
            self._fabric.send_to_balancer(self, datagram)
        self.queued_datagrams.clear()

    def error_received(self, exc):
        """Count an ICMP error; the failed balancer stays in rotation."""
        self._fabric.counters["refused"] += 1

    def datagram_received(self, datagram, remote):
        """Forward a balancer's packet to the caller."""
        self._fabric.handle_balancer_packet(self, remote, datagram)


class Fabric:
    """Flows, balancers and faults of the network.

    Parameters
    ----------
    balancers_by_service : dict
        Balancer addresses by service address.
    generator : Random
        Source of every random choice.
    alternate : bool
        Whether to select balancers round-robin instead of at random.
    """

    def __init__(self, balancers_by_service, generator: Random, local_ip, alternate):
        self.balancers_by_service = balancers_by_service
        self.counters = Counter()
        self._generator = generator
        self._local_ip = local_ip
        self._alternate = alternate
        self._rotation_count = 0
        self._flows_by_key: dict[tuple, Flow] = {}
        self._sockets_by_service: dict[Address, ServiceSocket] = {}
        self._faults_by_key: dict[tuple[str, str], Fault] = {}
        self._removed_ips: set[str] = set()

    async def start(self):
        """Bind every service's address."""
        loop = get_running_loop()
        for service in self.balancers_by_service:
            service_socket = ServiceSocket(self, service)
            await loop.create_datagram_endpoint(
                lambda service_socket=service_socket: service_socket, local_addr=service
            )
            self._sockets_by_service[service] = service_socket

    def handle_caller_packet(self, service: Address, caller, datagram: bytes):
        """Send a caller's packet to a balancer through its flow's socket."""
        self.counters["from callers"] += 1
        key = (service, caller)
        flow = self._flows_by_key.get(key)
        if flow is None:
            flow = self._open_flow(key)
        if flow.forgotten:
            self.counters["forgotten"] += 1
        elif flow.transport is None:
            flow.queued_datagrams.append(datagram)
        else:
            self.send_to_balancer(flow, datagram)

    def send_to_balancer(self, flow: Flow, datagram: bytes):
        """Send a packet to one balancer of those in rotation."""
        balancers = [
            address
            for address in self.balancers_by_service[flow.service]
            if address.ip not in self._removed_ips
        ]
        if not balancers:
            self.counters["no balancer"] += 1
            return
        balancer = self._choose(balancers)
        self.counters[f"to {balancer.ip}"] += 1
        self._apply(
            ("to", balancer.ip), lambda: flow.transport.sendto(datagram, balancer)
        )

    def handle_balancer_packet(self, flow: Flow, balancer, datagram: bytes):
        """Forward a balancer's packet to the flow's caller."""
        if balancer not in self.balancers_by_service[flow.service]:
            self.counters["stranger"] += 1
            return
        if flow.forgotten:
            self.counters["forgotten"] += 1
            return
        self.counters[f"from {balancer[0]}"] += 1
        transport = self._sockets_by_service[flow.service].transport
        self._apply(
            ("from", balancer[0]), lambda: transport.sendto(datagram, flow.caller)
        )

    def run_command(self, command: dict) -> dict:
        """Run a control command.

        ``{"command": "remove"|"add", "ip": IP}`` takes a balancer out of
        rotation or adds it again; ``"fault"`` with ``ip`` (or ``*``),
        ``direction`` (``to`` or ``from`` the balancers) and the fields of
        `Fault` sets a fault, ``"heal"`` removes all faults; ``"forget"``
        discards all later packets of every open flow; ``"alternate"`` with
        ``on`` turns round-robin selection on or off; ``"counters"`` changes
        nothing. Each command returns the counters, flows and faults.
        """
        match command:
            case {"command": "remove", "ip": ip}:
                self._removed_ips.add(ip)
            case {"command": "add", "ip": ip}:
                self._removed_ips.discard(ip)
            case {"command": "fault", "ip": ip, "direction": direction, **fields}:
                self._faults_by_key[(direction, ip)] = Fault(**fields)
            case {"command": "heal"}:
                self._faults_by_key.clear()
            case {"command": "forget"}:
                self._forget_flows()
            case {"command": "alternate", "on": on}:
                self._alternate = on
            case {"command": "counters"}:
                pass
            case _:
                return {"error": f"unknown command {command!r}"}
        return {
            "counters": dict(self.counters),
            "flows": len(self._flows_by_key),
            "faults": {
                " ".join(key): asdict(fault)
                for key, fault in self._faults_by_key.items()
            },
        }

    def _open_flow(self, key):
        flow = Flow(self, *key)
        self._flows_by_key[key] = flow
        loop = get_running_loop()
        opening = loop.create_datagram_endpoint(
            lambda: flow, local_addr=(self._local_ip, 0)
        )
        flow.opening = loop.create_task(opening)
        return flow

    def _forget_flows(self):
        for flow in self._flows_by_key.values():
            flow.forgotten = True

    def _choose(self, balancers):
        if self._alternate:
            self._rotation_count += 1
            return balancers[self._rotation_count % len(balancers)]
        return balancers[self._generator.randrange(len(balancers))]

    def _apply(self, key, send):
        direction, _ip = key
        fault = self._faults_by_key.get(key)
        fault = fault or self._faults_by_key.get((direction, "*"), NO_FAULT)
        deliver(fault, send, self._generator, self.counters)


def parse_map(text: str) -> tuple[Address, list[Address]]:
    """Parse ``SERVICE_IP:PORT=BALANCER_IP:PORT,...``."""
    service, _, balancers = text.partition("=")
    return parse_address(service), [
        parse_address(item) for item in balancers.split(",")
    ]


async def run_fabric(arguments):
    """Run until a signal ends the process."""
    loop = get_running_loop()
    stopped = loop.create_future()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stopped.cancel)
    fabric = Fabric(
        dict(parse_map(item) for item in arguments.map),
        Random(arguments.seed),
        arguments.local_ip,
        arguments.alternate,
    )
    await fabric.start()
    if arguments.control:
        await loop.create_datagram_endpoint(
            lambda: ControlSocket(fabric.run_command),
            local_addr=parse_address(arguments.control),
        )
    print("ready", flush=True)
    try:
        await stopped
    finally:
        print(dumps(dict(fabric.counters)), flush=True)


def main():
    """Run the program."""
    parser = ArgumentParser(prog="demo.fabric")
    parser.add_argument("--map", action="append", required=True)
    parser.add_argument("--control", help="IP:PORT of the control socket")
    parser.add_argument("--local-ip", default="127.0.0.3")
    parser.add_argument("--alternate", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    install()
    with suppress(CancelledError):
        run(run_fabric(arguments))


if __name__ == "__main__":
    main()
