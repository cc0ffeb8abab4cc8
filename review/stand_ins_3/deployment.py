"""A small deployment on loopback: the project's processes and its neighbours.

The processes are those of the deploy file. Targets, clients and the platform's
routers are stand-ins that do what PROTOCOL.md says and nothing else.
"""

import asyncio
import os
import signal
import sys
import tempfile
import tomllib
from contextlib import suppress
from hashlib import sha256
from pathlib import Path
from random import Random
from socket import SOCK_DGRAM, socket
from time import time

from metadata_store import Store
from packets import ACK, BOUNCED, FIN, RST, SPACE, SYN, bounce, distance, pack, unpack

ROOT = Path(__file__).resolve().parents[2]
REGION = "viti-west"
HEARTBEAT_S = 0.77
RETRY_S, MAX_RETRY_S, MAX_RETRIES = 0.2, 1.6, 8
COPIES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
PROBE_S = 0.5
RESTART_S = 0.25
BROKEN = 10
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "stability-window-ms": 4000,
    "ack-timeout-ms": 5000,
    "catch-up-s": 4,
    "drain-timeout-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 12000,
    "recovery-s": 12,
    "flow-timeout-ms": 2000,
    "flow-lifetime-s": 60,
}


class Clock:
    """Seconds since the start of the script."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._start = self._loop.time()

    def __call__(self):
        """Return the time."""
        return self._loop.time() - self._start


class Record:
    """Writes what happened to record.txt."""

    def __init__(self, path, clock):
        self._path = path
        self._path.write_text("")
        self._clock = clock

    def __call__(self, text):
        """Write a line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self._clock():8.3f} {text}\n")


class Udp(asyncio.DatagramProtocol):
    """A socket that passes datagrams to a callable."""

    def __init__(self, receive):
        self._receive = receive
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Pass a datagram on."""
        self._receive(data)

    def error_received(self, exc):
        """Ignore a port without a listener: datagrams get lost."""


async def open_udp(address, receive):
    """Return a socket bound to an address."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Udp(receive), local_addr=address
    )
    return protocol


class Host:
    """A machine and its process of the deploy file."""

    def __init__(self, deployment, name, role, ip, zone, service=""):
        self.deployment = deployment
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.service = service
        self.process = None
        self.misses = 2
        self.starts = 0

    @property
    def is_in_rotation(self):
        """Whether the routers use this node."""
        return self.misses < 2

    def write_settings(self):
        """Write the settings file and return its path."""
        d = self.deployment
        kind = "edge" if self.role == "balancer" else "side"
        lines = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": kind,
            "serves": "edge,control_plane" if kind == "edge" else "side",
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            **{f"zones.{zone}": REGION for zone in d.zones},
            "listen.datagram-addr": f"{self.ip}:{d.datagram_port}",
            "listen.ready-addr": f"{self.ip}:{d.ready_port}",
            "listen.control": f"{self.ip}:{d.control_port}",
            "listen.outbound": f"{self.ip}:{d.outbound_port}",
            "internal-port-range": f"{d.internal_port},{d.internal_port + 15}",
            "seeds": ",".join(f"{b.ip}:{d.control_port}" for b in d.balancers[:3]),
            "bootstrap": "true" if self.starts == 0 else "false",
            "counts-in-tolerance": "false",
            "limits.memory-mb": "300" if kind == "edge" else "168",
            "limits.max-fds": "4100",
            "discovery": "platform",
            "entry": "announce",
            "heartbeat-ms": "770",
            "contracts": "base,drain,config,cost,recover,flows,platform",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "hash": "steady",
            "deploy-mode": "agent",
            "platform.address": f"{d.store_address[0]}:{d.store_address[1]}",
            "platform.deploy-mode": "read",
            "platform.history-s": 20,
            "platform.value-bytes": 1048576,
        }
        if kind == "side":
            lines |= {"app": f"{self.ip}:{d.app_port}", "service": self.service}
        path = d.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        return path

    async def start(self):
        """Start the process with the command of the deploy file."""
        d = self.deployment
        path = self.write_settings()
        self.starts += 1
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(d.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *d.commands[self.role],
                cwd=ROOT,
                env={
                    **kept,
                    "LYCHEEGLADE_CONFIG": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
            )
        d.processes.append(self.process)
        d.record(f"{self.name} starts")

    async def stop(self, number=signal.SIGTERM):
        """Send a signal and wait for the end of the process."""
        self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace-s"])
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.deployment.record(f"{self.name} has ended")

    async def restart(self, number=signal.SIGTERM):
        """Stop the process and start it again, as in a rolling restart."""
        await self.stop(number)
        await asyncio.sleep(RESTART_S)
        await self.start()


class TargetFlow:
    """A flow at its target."""

    def __init__(self, seq, expected):
        self.seq = seq
        self.sent = (seq + 1) % SPACE
        self.acked = self.sent
        self.expected = expected
        self.is_open = False


class Target:
    """A target beside an agent; it runs the requests of its flows."""

    def __init__(self, deployment, target_id, host, service):
        self.deployment = deployment
        self.id, self.host, self.service = target_id, host, service
        self.born = int(time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.flows = {}
        self.work_s = 0.02
        self.is_alive = True
        self._random = Random(target_id)
        self._udp = None
        self._health = None
        self._outbound = (host.ip, deployment.outbound_port)
        self._tasks = set()
        self._written = None

    async def start(self):
        """Take packets and health probes, and register in the store."""
        address = (self.host.ip, self.deployment.app_port)
        self._udp = await open_udp(address, self._receive)
        self._health = await asyncio.start_server(self._answer_probe, *address)
        self._spawn(self._beat())

    def close(self):
        """End the target."""
        self.is_alive = False
        for task in self._tasks:
            task.cancel()
        self._udp.transport.close()
        self._health.close()

    def drain(self):
        """Report that the target leaves; the store accepts it at once."""
        self.state = "draining"
        self._write()
        self.deployment.record(f"{self.id} is draining; the store acknowledges it")

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_probe(self, reader, writer):
        with suppress(Exception):
            await reader.readuntil(b"\r\n\r\n")
            good = self.state == "ready"
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % (200 if good else 503)
            )
        writer.close()

    def entry(self):
        """Return what the target says of itself."""
        return {
            "service": self.service,
            "address": f"{self.host.ip}:{self.deployment.app_port}",
            "zone": self.host.zone,
            "version": "v1",
            "capacity": 1,
            "state": self.state,
            "warmup-left-ms": 0,
            "born": self.born,
        }

    async def _beat(self):
        while True:
            self._write()
            await asyncio.sleep(HEARTBEAT_S)

    def _write(self):
        self.sequence += 1
        # The entry changes when more than `sequence` changes.
        if self.entry() != self._written:
            self._written = self.entry()
            entry = {**self._written, "sequence": self.sequence}
            self.deployment.store.put(f"servers/{self.id}", entry)

    def _send(self, datagram):
        self._udp.transport.sendto(datagram, self._outbound)

    def _receive(self, datagram):
        p = unpack(datagram)
        d = self.deployment
        if not p.is_whole or p.flags & BOUNCED:
            d.record(f"{self.id} takes a packet that its sender didn't write so")
            d.wrong_packets += 1
            return
        key = (p.src, p.dst)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None:
                flow = TargetFlow(self._random.randrange(SPACE), (p.seq + 1) % SPACE)
                self.flows[key] = flow
                d.taken.append((d.clock(), key, self))
                d.record(f"{self.id} takes the opening of {p.src[0]}:{p.src[1]}")
            if not flow.is_open:
                self._reply(key, SYN | ACK, flow.seq, flow.expected)
            return
        if flow is None or not 0 < distance(flow.seq, p.ack) <= 1 << 20:
            self._send(bounce(datagram))
            return
        if p.flags & RST:
            del self.flows[key]
            return
        if not flow.is_open:
            flow.is_open = True
            d.opened(key, self)
        if distance(flow.acked, p.ack) > 0:
            flow.acked = p.ack
        if p.data:
            if p.seq == flow.expected:
                flow.expected = (p.seq + len(p.data)) % SPACE
                self._spawn(self._run(key, flow, p.data))
            self._reply(key, ACK, flow.sent, flow.expected)
        elif p.flags & FIN:
            self._reply(key, FIN | ACK, flow.sent, (p.seq + 1) % SPACE)
            del self.flows[key]
            d.closed(key)

    def _reply(self, key, flags, seq, ack, data=b""):
        client, service = key
        self._send(pack(flags, seq, ack, service, client, data))

    async def _run(self, key, flow, request):
        name = request.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.deployment.ran(name, self)
        await asyncio.sleep(self.work_s)
        body = name.encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: " + body + b"\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        seq = flow.sent
        flow.sent = end = (seq + len(answer)) % SPACE
        pause = RETRY_S
        for _ in range(MAX_RETRIES + 1):
            if self.flows.get(key) is not flow or distance(flow.acked, end) <= 0:
                return
            self._reply(key, ACK, seq, flow.expected, answer)
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_S)


class Client:
    """A client's end of a flow, with requests one after another."""

    def __init__(self, deployment, ip, port, route, zone):
        self.deployment = deployment
        self.end, self.route, self.zone = (ip, port), route, zone
        self.key = (self.end, route)
        self.random = Random(f"{ip}:{port}")
        self.seq = self.random.randrange(SPACE)
        self.ack = None
        self.buffer = b""
        self.acked = None
        self.is_reset = False
        self.reset_at = None
        self.began_at = 0.0
        self.changed = asyncio.Event()
        self.last_node = None
        deployment.clients[self.key] = self

    @property
    def name(self):
        """Text of the client's end."""
        return f"{self.end[0]}:{self.end[1]}"

    def _send(self, flags, seq, ack, data=b""):
        d = self.deployment
        node = d.route_packet(self)
        if node is not self.last_node:
            d.record(f"{self.name} goes by {node.name}")
            self.last_node = node
        datagram = pack(flags, seq, ack, self.end, self.route, data)
        d.client_sockets[self.end[0]].transport.sendto(
            datagram, (node.ip, d.datagram_port)
        )

    def receive(self, p):
        """Process a packet of the other end, or a reset of the system."""
        if self.is_reset:
            return
        if p.flags & RST:
            self.is_reset = True
            self.reset_at = self.deployment.clock()
        elif p.flags & SYN:
            if self.ack is None:
                self.ack = (p.seq + 1) % SPACE
        elif p.data and self.ack is not None:
            if p.seq == self.ack:
                self.ack = (p.seq + len(p.data)) % SPACE
                self.buffer += p.data
            self._send(ACK, self.seq, self.ack)
        if not p.flags & (RST | SYN):
            self.acked = p.ack
        self.changed.set()

    async def _wait(self, until):
        left = until - self.deployment.clock()
        if left > 0:
            self.changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def open(self):
        """Open the flow; return whether it has opened."""
        clock = self.deployment.clock
        began = self.began_at = clock()
        first = (self.seq - 1) % SPACE
        for copy, delay in enumerate(COPIES_S):
            while clock() < began + delay and self.ack is None and not self.is_reset:
                await self._wait(began + delay)
            if self.ack is not None or self.is_reset:
                break
            self._send(SYN, first, copy)
        while clock() < began + OPEN_TIMEOUT_S and self.ack is None:
            if self.is_reset:
                return False
            await self._wait(began + OPEN_TIMEOUT_S)
        if self.ack is None:
            return False
        self._send(ACK, self.seq, self.ack)
        return True

    async def request(self, name, budget_s=2.0):
        """Send a request; return its answer's body, or None."""
        d = self.deployment
        data = (
            f"POST /confirm HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        began = d.clock()
        start, self.seq = self.seq, (self.seq + len(data)) % SPACE
        self.buffer = b""
        pause, due = RETRY_S, began
        while d.clock() < began + budget_s and not self.is_reset:
            if b"\r\n\r\n" in self.buffer:
                return self.buffer.split(b"\r\n\r\n", 1)[1].decode()
            is_acked = self.acked is not None and distance(self.acked, self.seq) <= 0
            if d.clock() >= due and not is_acked:
                self._send(ACK, start, self.ack, data)
                due = d.clock() + pause
                pause = min(2 * pause, MAX_RETRY_S)
            await self._wait(
                min(due, began + budget_s) if not is_acked else began + budget_s
            )
        return None

    def finish(self):
        """Close the flow."""
        if not self.is_reset and self.ack is not None:
            self._send(FIN | ACK, self.seq, self.ack)


class Deployment:
    """All of it; `run_case` starts and ends it."""

    def __init__(self, folder, record_path, zones=("nadi-a", "nadi-b")):
        self.clock = Clock()
        self.record = Record(record_path, self.clock)
        self.folder = folder
        self.zones = zones
        self.store = Store()
        self.balancers, self.agents, self.targets = [], [], []
        self.processes = []
        self.clients, self.client_sockets = {}, {}
        self.open_flows = {}
        self.next_probe_at = 0.0
        # Resets of flows whose openings were sent before aren't judged.
        self.judged_from = 0.0
        self.taken = []
        self.runs = {}
        self.wrong_packets = 0
        self.foreign_answers = 0
        self.false_resets = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: each["run"].split() for role, each in deploy["roles"].items()
        }
        self.net = self._choose_net()
        self.store_address = (self.ip(2), self._free_port())
        self.datagram_port, self.outbound_port = 8172, 8162
        self.ready_port, self.control_port, self.app_port = 8167, 8166, 8165
        self.internal_port = 7720
        self._tasks = []
        self._version = 0

    def _choose_net(self):
        """Return a part of the loopback range that nobody uses."""
        generator = Random()
        for _ in range(100):
            net = f"127.{generator.randrange(64, 250)}.{generator.randrange(1, 250)}"
            with socket(type=SOCK_DGRAM) as probe, suppress(OSError):
                probe.bind((f"{net}.10", 8172))
                return net
        raise OSError("no free loopback addresses")

    def _free_port(self):
        with socket() as probe:
            probe.bind((self.ip(2), 0))
            return probe.getsockname()[1]

    def ip(self, number):
        """Return one of the loopback addresses of this run."""
        return f"{self.net}.{number}"

    def add_balancer(self, name, number, zone):
        """Add an edge machine."""
        host = Host(self, name, "balancer", self.ip(number), zone)
        self.balancers.append(host)
        return host

    def add_target(self, target_id, number, zone, service):
        """Add a target and the side machine beside which it runs."""
        host = Host(self, f"agent-{target_id}", "agent", self.ip(number), zone, service)
        target = Target(self, target_id, host, service)
        self.agents.append(host)
        self.targets.append(target)
        return target

    async def add_client_ip(self, number):
        """Open the socket of a client machine."""
        ip = self.ip(number)
        self.client_sockets[ip] = await open_udp(
            (ip, self.datagram_port), self._receive
        )
        return ip

    def _receive(self, datagram):
        p = unpack(datagram)
        client = self.clients.get((p.dst, p.src))
        if client is None:
            return
        if p.flags & RST and p.sum == 0:
            if not client.is_reset:
                self._judge_reset(client)
        elif not p.is_whole:
            self.record(f"{client.name} takes a packet that its sender didn't write so")
            self.foreign_answers += 1
            return
        client.receive(p)

    def _judge_reset(self, client):
        """Judge a reset of the system's own by rule FLOW (a)."""
        held = self.open_flows.get(client.key)
        if held is None:
            self.record(f"{client.name} is refused by a reset; its flow isn't open")
            return
        target, since = held
        if not target.is_alive or client.began_at < self.judged_from:
            return
        self.false_resets.append((client, target))
        self.record(
            f"{client.name} GETS A RESET that {target.id} didn't send; the flow is"
            f" open there for {self.clock() - since:.1f} s"
        )

    def opened(self, key, target):
        """Record that a target has the end of a handshake."""
        self.open_flows[key] = target, self.clock()
        self.record(f"{key[0][0]}:{key[0][1]} is open at {target.id}")

    def closed(self, key):
        """Record that a flow has closed."""
        self.open_flows.pop(key, None)

    def ran(self, name, target):
        """Record that a target began to work on a request."""
        self.runs.setdefault(name, []).append(target.id)
        self.record(f"request {name} runs at {target.id}")

    def route_packet(self, client):
        """Return the node to which the routers forward a client's packet."""
        zone = [b for b in self.balancers if b.zone == client.zone]
        ready = [b for b in zone if b.is_in_rotation]
        if not ready:
            ready = [b for b in self.balancers if b.is_in_rotation] or zone
        elif 2 * len(ready) < len(zone):
            ready = zone

        def weight(node):
            return sha256(f"{client.key}{node.name}".encode()).digest()

        return max(ready, key=weight)

    def configure(self, routes):
        """Write a new version of the configuration."""
        self._version += 3
        services = sorted({each["service"] for each in routes})
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": [
                    {
                        "name": name,
                        "health-path": "/health",
                        "max-connections": 2000,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in services
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 262144,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
            },
        )
        self.record(f"configuration {self._version} is acknowledged")

    def change_settings(self, told):
        """Write all settings files anew; send SIGHUP to the hosts `told`."""
        for host in self.balancers + self.agents:
            host.write_settings()
        self.record("all settings files have changed")
        for host in told:
            host.process.send_signal(signal.SIGHUP)
            self.record(f"{host.name} gets SIGHUP")

    async def start(self):
        """Start the store, the targets and all processes; wait until ready."""
        await self.store.start(*self.store_address)
        for target in self.targets:
            await target.start()
        await asyncio.gather(*(h.start() for h in self.balancers + self.agents))
        self._tasks.append(asyncio.ensure_future(self._probe()))
        while not all(b.is_in_rotation for b in self.balancers):
            if self.clock() > 20:
                raise RuntimeError("the balancers aren't ready after 20 s")
            await asyncio.sleep(0.1)
        self.record("all balancers are ready")

    async def _probe(self):
        """Probe the balancers twice a second, as the platform does."""
        while True:
            self.next_probe_at = self.clock() + PROBE_S
            await asyncio.gather(*map(self._probe_one, self.balancers))
            await asyncio.sleep(self.next_probe_at - self.clock())

    async def _probe_one(self, host):
        was_in = host.is_in_rotation
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host.ip, self.ready_port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            line = b""
        host.misses = 0 if b" 200 " in line else host.misses + 1
        if host.is_in_rotation != was_in:
            state = "in" if host.is_in_rotation else "out of"
            self.record(f"{host.name} is {state} rotation")

    async def stop(self):
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for target in self.targets:
            with suppress(Exception):
                target.close()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        with suppress(Exception):
            self.store.close()


def run_case(folder, case):
    """Run `case(deployment, trouble)`; exit with `BROKEN` if it returns True.

    Exits with 0 if it returns False, and with another code if the case
    couldn't run.
    """

    async def run():
        # A stopped script ends its processes, too.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(Path(temporary), Path(folder) / "record.txt")
            try:
                async with asyncio.timeout(115):
                    trouble = os.environ.get("TROUBLE", "1") != "0"
                    deployment.record(f"trouble: {'yes' if trouble else 'no'}")
                    broken = await case(deployment, trouble)
            except (Exception, asyncio.CancelledError) as error:
                deployment.record(f"the case couldn't run: {error!r}")
                print(f"couldn't run: {error!r}")
                return 2
            finally:
                await deployment.stop()
                logs = os.environ.get("KEEP_LOGS")
                if logs:
                    for log in Path(temporary).glob("*.log"):
                        (Path(logs) / log.name).write_bytes(log.read_bytes())
            deployment.record("the rule was broken" if broken else "the rule held")
            print("broken" if broken else "held")
            return BROKEN if broken else 0

    sys.exit(asyncio.run(run()))
