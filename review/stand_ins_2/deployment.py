"""A small deployment on loopback, with the programs of the deploy file.

The balancers and agents are separate processes, started with the commands of
`deploy/system.toml`. The platform's store and router, the targets and the
callers are stand-ins in this process. They use the standard library only.
"""

import asyncio
import contextlib
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from hashlib import blake2b
from json import dumps
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<B3xIIIHIIHHI")
ACK, BOUNCED, FIN, SYN, RST = 1, 2, 8, 32, 64
SPACE = 1 << 32
DATAGRAM_PORT, READY_PORT, CONTROL_PORT = 8172, 8167, 8166
OUTBOUND_PORT, APP_PORT, INTERNAL_PORT, STORE_PORT = 8162, 8165, 7720, 8169
METRICS_PORT = 9464
REGION = "region"
HEARTBEAT_S = 0.77
SYN_TIMES_S = (0.0, 0.2, 0.6)
ATTEMPT_S = 1.4
FIRST_RETRY_S, MAX_RETRY_S, TARGET_RETRIES = 0.2, 1.6, 8
RESTART_DELAY_S = 0.5
START_TIMEOUT_S = 20.0
STABILITY_S = 4.0


def ahead(start: int, end: int) -> int:
    """Return the distance from `start` to `end` modulo 2**32, with a sign."""
    distance = (end - start) % SPACE
    return distance - SPACE if distance >= SPACE // 2 else distance


def pack(flags, src, dst, seq, ack, data=b"") -> bytes:
    """Return a packet from `src` to `dst`, each an IP and a port."""
    source, target = (int.from_bytes(socket.inet_aton(ip)) for ip in (src[0], dst[0]))
    fields = (seq % SPACE, ack % SPACE, dst[1], source, target, src[1], len(data))
    digest = blake2b(repr((flags, *fields, data)).encode(), digest_size=4, key=b"k")
    total = int.from_bytes(digest.digest()) or 1
    head = HEADER.pack(flags, fields[0], fields[1], total, *fields[2:], 0)
    return head + data


class Packet:
    """A decoded packet."""

    def __init__(self, datagram: bytes):
        values = HEADER.unpack_from(datagram)
        self.datagram = datagram
        (
            self.flags,
            self.seq,
            self.ack,
            self.sum,
            dport,
            src,
            dst,
            sport,
            _,
            self.echo,
        ) = values
        self.src = socket.inet_ntoa(src.to_bytes(4)), sport
        self.dst = socket.inet_ntoa(dst.to_bytes(4)), dport
        self.data = datagram[HEADER.size :]

    def bounced(self) -> bytes:
        """Return the packet as a target returns it."""
        return bytes([self.datagram[0] | BOUNCED, 0, 0, 0]) + self.datagram[4:]


class Endpoint(asyncio.DatagramProtocol):
    """UDP socket that passes each datagram and its source to a callable."""

    def __init__(self, on_datagram):
        self.on_datagram = on_datagram
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Pass a datagram on."""
        self.on_datagram(data, addr)

    def error_received(self, exc):
        """Ignore errors of earlier datagrams."""

    def send(self, datagram, address):
        """Send a datagram."""
        self.transport.sendto(datagram, address)


async def open_endpoint(address, on_datagram) -> Endpoint:
    """Return a UDP socket bound to `address`."""
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(
        lambda: Endpoint(on_datagram), local_addr=address
    )
    return endpoint


class Record:
    """What was sent, answered and run, with times from the start."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> float:
        """Record a line; return its time."""
        now = self.now()
        self.lines.append(f"{now:9.3f} {text}")
        return now

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("".join(f"{line}\n" for line in self.lines))


class Store:
    """The platform's store: items, ranges and watches over HTTP."""

    def __init__(self, record: Record):
        self.record = record
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        # Called with the name of a node; a true result gets no answer.
        self.is_silent_to = lambda name: False
        # Time of the latest watch of each node.
        self.watched_at: dict[str, float] = {}

    async def serve(self, name: str, address) -> None:
        """Listen for the calls of one node, at an address of its own."""

        async def answer(reader, writer):
            await self._serve(name, reader, writer)

        self.servers.append(await asyncio.start_server(answer, *address))

    def _add(self, event: dict) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, content) -> None:
        """Write an item; bytes are written as they are."""
        self.revision += 1
        raw = content if isinstance(content, bytes) else dumps(content).encode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": b64encode(raw).decode()}
        item |= {"revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self._add(item)

    def delete(self, key: str) -> None:
        """Delete an item, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "deleted": True})

    async def _serve(self, name, reader, writer):
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                parts = urlsplit(request.split()[1].decode())
                fields = parse_qs(parts.query, keep_blank_values=True)
                query = {field: values[0] for field, values in fields.items()}
                if parts.path == "/kv-watch":
                    self.watched_at[name] = time.monotonic()
                status, body = await self._answer(parts.path, query)
                if self.is_silent_to(name):
                    await reader.read()
                    return
                content = dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        await asyncio.sleep(0.004)
        if path == "/kv-range":
            after = query.get("after", "")
            prefix = query.get("prefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {
                "items": page,
                "has-more": more,
                "current-rev": self.revision,
            }
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            body = {"current-rev": self.revision}
            return (200, item | body) if item else (404, body)
        after, until = int(query["after"]), time.monotonic()
        until += int(query["wait-ms"]) / 1000
        while not (events := [e for e in self.events if e["revision"] > after]):
            left = until - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return 200, {"events": events, "current-rev": self.revision}


class TargetFlow:
    """A flow at a target."""

    def __init__(self, seq: int):
        self.seq = seq
        self.is_open = False
        self.sent = (seq + 1) % SPACE
        self.acked = self.sent
        self.received: int | None = None
        self.has_ended = False


class Target:
    """One lifetime of a target: answers each request of its flows."""

    def __init__(self, deployment, name, service, zone, ip, work_s=0.01, capacity=1):
        self.deployment = deployment
        self.target_id = name
        self.service, self.zone, self.ip = service, zone, ip
        self.work_s, self.capacity = work_s, capacity
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.written: dict = {}
        self.flows: dict[tuple, TargetFlow] = {}
        self.is_alive = True
        self.checks_in = True
        self.last_check_in = 0.0
        # Times at which each flow's packets arrived.
        self.arrivals: dict[tuple, list[float]] = {}
        self.endpoint = self.listener = None
        self.tasks: list[asyncio.Task] = []

    def __str__(self):
        return f"{self.target_id} ({self.service}, {self.ip})"

    async def start(self) -> None:
        """Listen, and register in the store."""
        address = self.ip, APP_PORT
        self.endpoint = await open_endpoint(address, self._receive)
        self.listener = await asyncio.start_server(self._answer_probe, *address)
        self.deployment.record.add(f"target {self} starts, born {self.born}")
        self.tasks.append(asyncio.create_task(self._check_in()))

    async def _answer_probe(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.last_check_in = time.monotonic()
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{APP_PORT}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        key = f"servers/{self.target_id}"
        # The entry changes when more than `sequence` changes.
        content = {name: v for name, v in entry.items() if name != "sequence"}
        if content != self.written or key not in self.deployment.store.items:
            self.written = content
            self.deployment.store.put(key, entry)

    async def _check_in(self):
        while True:
            if self.checks_in:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self) -> float:
        """Report `draining`; return the time of the store's answer."""
        self.state = "draining"
        self.register()
        return self.deployment.record.add(f"store acknowledges: {self} is draining")

    def stop(self) -> None:
        """End the process of the target."""
        self.is_alive = False
        for task in self.tasks:
            task.cancel()
        if self.endpoint is not None:
            self.endpoint.transport.close()
            self.listener.close()

    def leave(self) -> None:
        """End, and remove the entry."""
        self.stop()
        self.deployment.store.delete(f"servers/{self.target_id}")
        self.deployment.record.add(f"target {self} has left")

    def crash(self) -> None:
        """End; the entry goes after three intervals without a check-in."""
        self.stop()
        self.deployment.record.add(f"target {self} crashes")
        left = self.last_check_in + 3 * HEARTBEAT_S - time.monotonic()
        asyncio.get_running_loop().call_later(max(0.0, left), self._expire)

    def _expire(self):
        self.deployment.store.delete(f"servers/{self.target_id}")
        self.deployment.record.add(f"entry of {self} has expired")

    def _send(self, datagram):
        if self.is_alive:
            self.endpoint.send(datagram, (self.ip, OUTBOUND_PORT))

    def _receive(self, datagram, source):
        packet = Packet(datagram)
        key = packet.src, packet.dst
        self.arrivals.setdefault(key, []).append(self.deployment.record.now())
        self.deployment.on_arrival(self, packet)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.has_ended:
                flow = self.flows[key] = TargetFlow(random.randrange(SPACE))
                self.deployment.on_accepted(self, packet)
            if not flow.is_open:
                self._answer(key, SYN | ACK, flow.seq, packet.seq + 1)
            return
        if flow is None or not 0 < ahead(flow.seq, packet.ack) <= 76_800:
            self._send(packet.bounced())
            return
        if packet.flags & RST:
            flow.has_ended = True
            return
        if flow.has_ended:
            if packet.flags & FIN:
                self._answer(key, ACK, flow.sent, packet.seq + 1)
            elif packet.data:
                self._answer(key, RST, flow.sent, 0)
            return
        if not flow.is_open:
            flow.is_open = True
            self.deployment.on_open(self, packet)
        if ahead(flow.acked, packet.ack) > 0:
            flow.acked = packet.ack
        if packet.data:
            self._take_request(key, flow, packet)
        if packet.flags & FIN:
            flow.has_ended = True
            self.deployment.on_end(key)
            self._answer(key, FIN | ACK, flow.sent, packet.seq + 1)

    def _answer(self, key, flags, seq, ack, data=b""):
        client, route = key
        self._send(pack(flags, route, client, seq, ack, data))

    def _take_request(self, key, flow, packet):
        end = (packet.seq + len(packet.data)) % SPACE
        if flow.received is not None and ahead(flow.received, end) <= 0:
            self._answer(key, ACK, flow.sent, flow.received)
            return
        flow.received = end
        self.tasks.append(asyncio.create_task(self._run(key, flow, packet.data)))

    async def _run(self, key, flow, data):
        name = data.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.deployment.record.add(f"run {name} at {self}")
        await asyncio.sleep(self.work_s)
        body = f"{name} {self.target_id}".encode()
        head = f"HTTP/1.1 200 OK\r\nX-Response-Signature: {self.target_id}\r\n"
        answer = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        start, flow.sent = flow.sent, (flow.sent + len(answer)) % SPACE
        pause = FIRST_RETRY_S
        for _ in range(TARGET_RETRIES + 1):
            if ahead(flow.acked, flow.sent) <= 0 or not self.is_alive:
                return
            self._answer(key, ACK, start, flow.received, answer)
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_S)


class Flow:
    """A flow at its client."""

    def __init__(self, client, port, route):
        self.client = client
        self.key = (client.ip, port), route
        self.seq = random.randrange(SPACE)
        self.first = self.seq
        self.next_ack: int | None = None
        self.is_reset = False
        self.answered_to: int | None = None
        self.answer = b""
        self.changed = asyncio.Event()
        # When each opening packet was sent, and to which balancer.
        self.openings: list[tuple[float, Node]] = []
        # When each packet with data was sent.
        self.sent: list[float] = []

    def __str__(self):
        return f"{self.key[0][1]}>{self.key[1][0]}:{self.key[1][1]}"

    def receive(self, packet):
        """Take a packet of the flow's target."""
        if packet.flags & SYN:
            if self.next_ack is None:
                self.next_ack = (packet.seq + 1) % SPACE
        elif packet.data and self.next_ack is not None:
            end = (packet.seq + len(packet.data)) % SPACE
            if ahead(self.next_ack, end) > 0:
                self.next_ack, self.answer = end, packet.data
                self.answered_to = packet.ack
            self.send(ACK, self.seq)
        self.changed.set()

    def send(self, flags, seq, data=b"", copies=0):
        """Send a packet through the router."""
        ack = copies if flags & SYN else self.next_ack
        node = self.client.deployment.route(self.key)
        if node is None:
            return
        if flags & SYN:
            self.openings.append((self.client.deployment.record.now(), node))
        if data:
            self.sent.append(self.client.deployment.record.now())
        datagram = pack(flags, *self.key, seq, ack, data)
        self.client.endpoint.send(datagram, (node.ip, DATAGRAM_PORT))

    async def _wait(self, until, is_done):
        while not is_done() and not self.is_reset:
            left = until - time.monotonic()
            if left <= 0:
                return
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def open(self) -> bool:
        """Open the flow; return whether a target has accepted it."""
        began = time.monotonic()
        for copies, offset in enumerate((*SYN_TIMES_S, ATTEMPT_S)):
            await self._wait(began + offset, lambda: self.next_ack is not None)
            if self.is_reset or self.next_ack is not None:
                break
            if offset < ATTEMPT_S:
                self.send(SYN, self.first, copies=copies)
        if self.is_reset or self.next_ack is None:
            return False
        self.seq = (self.first + 1) % SPACE
        self.send(ACK, self.seq)
        return True

    async def request(self, name: str, budget_s: float) -> bytes:
        """Send a request; return its answer, or nothing."""
        head = f"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\n\r\n"
        data, start = head.encode(), self.seq
        self.seq = end = (start + len(data)) % SPACE
        until, pause = time.monotonic() + budget_s, FIRST_RETRY_S
        send_at = time.monotonic()
        while time.monotonic() < until and not self.is_reset:
            self.send(ACK, start, data)
            send_at = min(until, send_at + pause)
            pause = min(2 * pause, MAX_RETRY_S)
            await self._wait(send_at, lambda: self.answered_to == end)
            if self.answered_to == end:
                return self.answer
        return b""

    def close(self) -> None:
        """Close the client's side."""
        if self.next_ack is not None and not self.is_reset:
            self.send(FIN | ACK, self.seq)


class Client:
    """The host of a client, with one address and many flows."""

    def __init__(self, deployment, ip):
        self.deployment, self.ip = deployment, ip
        self.flows: dict[tuple, Flow] = {}
        self.port = 1024
        self.endpoint = None

    async def start(self):
        """Listen for packets."""
        self.endpoint = await open_endpoint((self.ip, DATAGRAM_PORT), self._receive)

    def make_flow(self, route) -> Flow:
        """Return a flow from a port that was never used."""
        self.port += 1
        flow = Flow(self, self.port, route)
        self.flows[flow.key] = flow
        return flow

    def _receive(self, datagram, source):
        packet = Packet(datagram)
        flow = self.flows.get((packet.dst, packet.src))
        if flow is None:
            return
        if packet.flags & RST:
            is_own = packet.sum == 0
            near = flow.next_ack is None or abs(ahead(flow.next_ack, packet.seq)) <= (
                76_800
            )
            self.deployment.on_reset(flow, source[0], is_own and near, is_own)
            if near or not is_own:
                flow.is_reset = True
                flow.changed.set()
            return
        flow.receive(packet)


class Node:
    """A machine of the system with one process."""

    def __init__(self, deployment, name, role, zone, ip, service=""):
        self.deployment = deployment
        self.name, self.role, self.zone = name, role, zone
        self.ip, self.service = ip, service
        self.process = None
        self.misses = 2
        self.is_wanted = False
        self.disturbed_at = float("-inf")
        # The store's port for this node.
        self.store_port = STORE_PORT + 100 + len(deployment.nodes)
        self.has_store = False

    def __str__(self):
        return self.name

    def settings(self) -> str:
        """Return the text of the settings file."""
        deployment = self.deployment
        lines = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "edge" if self.role == "balancer" else "side",
            "serves": "edge,control_plane" if self.role == "balancer" else "side",
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            **{f"zones.{zone}": REGION for zone in deployment.zones},
            "listen.datagram-addr": f"{self.ip}:{DATAGRAM_PORT}",
            "listen.ready-addr": f"{self.ip}:{READY_PORT}",
            "internal-port-range": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "seeds": ",".join(deployment.seeds()),
            "bootstrap": "true",
            "limits.cpu-share": "0.537",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "heartbeat-ms": f"{HEARTBEAT_S * 1000:.0f}",
            "bounds.stability-window-ms": "4000",
            "bounds.drain-timeout-ms": "3000",
            "bounds.config-apply-ms": "3000",
            "bounds.flow-timeout-ms": "2000",
            "bounds.flow-lifetime-s": "60",
            "hash": "steady",
            "deploy-mode": "agent",
            "platform.address": f"{deployment.ip(1)}:{self.store_port}",
            "platform.deploy-mode": "read",
            "platform.reads-per-s": "2000",
            "platform.value-bytes": "1048576",
        }
        if self.role == "balancer":
            lines["listen.control"] = f"{self.ip}:{CONTROL_PORT}"
        else:
            lines["listen.outbound"] = f"{self.ip}:{OUTBOUND_PORT}"
            lines["app"] = f"{self.ip}:{APP_PORT}"
            lines["service"] = self.service
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    @property
    def settings_path(self) -> Path:
        """Path of the settings file."""
        return self.deployment.folder / f"{self.name}.conf"

    def write_settings(self) -> None:
        """Write the settings file."""
        self.settings_path.write_text(self.settings())

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        if not self.has_store:
            self.has_store = True
            address = self.deployment.ip(1), self.store_port
            await self.deployment.store.serve(self.name, address)
        self.write_settings()
        self.is_wanted = True
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.deployment.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LYCHEEGLADE_CONFIG": str(self.settings_path),
        }
        with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.deployment.commands[self.role].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.disturbed_at = self.deployment.record.add(f"process of {self} starts")
        watcher = asyncio.create_task(self._watch(self.process))
        self.deployment.tasks.append(watcher)

    async def _watch(self, process) -> None:
        """Start the process again a short time after it has ended."""
        code = await process.wait()
        self.deployment.record.add(f"process of {self} has ended with {code}")
        await asyncio.sleep(RESTART_DELAY_S)
        if self.is_wanted and self.process is process:
            await self.start()

    def signal(self, number) -> None:
        """Send a signal to the process."""
        self.deployment.record.add(f"{signal.Signals(number).name} to {self}")
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def fetch_ready(self) -> bool:
        """Return whether the process answers that it is ready."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def poll(self) -> None:
        """Ask twice a second whether the process is ready."""
        while True:
            is_ready = await self.fetch_ready()
            self.misses = 0 if is_ready else self.misses + 1
            await asyncio.sleep(0.5)


class Deployment:
    """All components of a case."""

    def __init__(self, zones=("zone-a", "zone-b")):
        self.record = Record()
        self.zones = list(zones)
        self.store = Store(self.record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        self.nodes: list[Node] = []
        self.targets: list[Target] = []
        self.tasks: list[asyncio.Task] = []
        self.breaks: list[str] = []
        self.open_at: dict[tuple, tuple[Target, float]] = {}
        self.ended: set[tuple] = set()
        self.resets: list[tuple] = []
        self.accepted: list[tuple] = []
        self._net = self._find_net()

    @staticmethod
    def _find_net() -> str:
        """Return the first three octets of free loopback addresses."""
        for _ in range(100):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for port in (STORE_PORT, READY_PORT, INTERNAL_PORT, METRICS_PORT):
                    for number in (1, 10, 20):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{number}", port))
            except OSError:
                continue
            return net
        raise OSError("no free loopback addresses")

    def ip(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f"{self._net}.{number}"

    def address(self, number: int, port: int) -> tuple[str, int]:
        """Return the address of a route."""
        return self.ip(number), port

    def seeds(self) -> list[str]:
        """Return the control addresses of up to three balancers."""
        ips = [node.ip for node in self.nodes if node.role == "balancer"]
        return [f"{ip}:{CONTROL_PORT}" for ip in ips[:3]]

    @property
    def balancers(self) -> list[Node]:
        """The nodes that carry callers' packets."""
        return [node for node in self.nodes if node.role == "balancer"]

    def add_node(self, name, role, zone, number, service="") -> Node:
        """Add a machine."""
        node = Node(self, name, role, zone, self.ip(number), service)
        self.nodes.append(node)
        return node

    def make_target(self, name, service, zone, number, **options) -> Target:
        """Return a new lifetime of a target."""
        target = Target(self, name, service, zone, self.ip(number), **options)
        self.targets.append(target)
        return target

    def make_client(self, number) -> Client:
        """Return a client's host."""
        return Client(self, self.ip(number))

    def write_configuration(self, version: int, routes: list[dict]) -> float:
        """Write the configuration; return the time of the store's answer."""
        services = sorted({route["service"] for route in routes})
        content = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "health-path": "/health", "max-connections": 2000}
                for name in services
            ],
            "limits": {"idle-timeout-ms": 60000},
        }
        self.store.put("op/config", content)
        named = ", ".join(f"{r['name']}={r['service']}" for r in routes)
        return self.record.add(f"store acknowledges configuration {version}: {named}")

    def make_route(self, name, address, service, kind="safe", aim=300) -> dict:
        """Return a route of the configuration."""
        return {
            "name": name,
            "host": address[0],
            "prefix": f"/{address[1]}/",
            "type": kind,
            "timeout-ms": 5000,
            "aim-ms": aim,
            "priority": 1,
            "service": service,
            "attempts": 2,
        }

    async def start_nodes(self, nodes=None) -> None:
        """Start processes, and wait until all answer that they are ready."""
        nodes = self.nodes if nodes is None else nodes
        for node in nodes:
            await node.start()
            if node.role == "balancer":
                self.tasks.append(asyncio.create_task(node.poll()))
        until = time.monotonic() + START_TIMEOUT_S
        for node in nodes:
            while not await node.fetch_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f"{node} is not ready")
                await asyncio.sleep(0.05)
        self.record.add("all processes are ready")

    def route(self, key) -> Node | None:
        """Return the balancer to which the router hands a flow's packets."""
        ready = [node for node in self.balancers if node.misses < 2]
        if len(ready) * 2 < len(self.balancers):
            ready = self.balancers
        if not ready:
            return None
        return max(
            ready,
            key=lambda n: blake2b(f"{key}{n.ip}".encode(), digest_size=8).digest(),
        )

    def on_arrival(self, target, packet) -> None:
        """Take note of a packet at a target; a case may replace it."""

    def on_accepted(self, target, packet) -> None:
        """Take note of an opening packet that a target took."""
        now = self.record.add(f"opening {packet.src[1]} taken by {target}")
        self.accepted.append((now, target, packet))

    def on_open(self, target, packet) -> None:
        """Take note of a flow that has opened."""
        now = self.record.add(f"flow {packet.src[1]} is open at {target}")
        self.open_at[packet.src, packet.dst] = target, now

    def on_end(self, key) -> None:
        """Take note of a flow that the client has ended."""
        self.ended.add(key)

    def on_reset(self, flow, sender, is_valid, is_own) -> None:
        """Take note of a reset at a client."""
        name = self.name_of(sender)
        kind = "of the system" if is_own else "of a target"
        now = self.record.add(f"client gets a reset {kind} on {flow} from {name}")
        self.resets.append((now, flow, name, is_valid, is_own))

    def name_of(self, ip: str) -> str:
        """Return the name of the machine at `ip`."""
        return next((node.name for node in self.nodes if node.ip == ip), ip)

    def break_rule(self, text: str) -> None:
        """Record that a rule was broken."""
        self.breaks.append(text)
        self.record.add(f"BROKEN {text}")

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.is_wanted = False
            if node.process is not None and node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                await node.process.wait()
        for target in self.targets:
            target.stop()


def run_case(folder: Path, play, make=Deployment) -> int:
    """Run a case; return 1 if a rule was broken, 0 if not, 2 if it can't run.

    Parameters
    ----------
    play : callable
        Coroutine function that plays the case; it gets the deployment and
        whether the disruption is on.
    """
    is_on = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        deployment = make()
        try:
            async with asyncio.timeout(110):
                await play(deployment, is_on)
            code = 1 if deployment.breaks else 0
        except Exception as error:
            deployment.record.add(f"the case can't run: {error!r}")
            code = 2
        finally:
            await deployment.stop()
        verdict = {0: "held", 1: "broken", 2: "not run"}[code]
        deployment.record.add(f"result: {verdict}, disruption {is_on}")
        deployment.record.write(folder / "record.txt")
        if os.environ.get("KEEP_LOGS"):
            print(deployment.folder)
        else:
            for path in deployment.folder.iterdir():
                path.unlink()
            deployment.folder.rmdir()
        print(*deployment.breaks[:5], f"result: {verdict}", sep="\n")
        return code

    return asyncio.run(main())


def exit_with(code: int) -> None:
    """End the process with `code`."""
    sys.exit(code)
