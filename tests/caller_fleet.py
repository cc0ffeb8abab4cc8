"""Simulation of balancers, agents, targets and callers in virtual time.

The decisions are those of the real balancers and agents. An observer at the
callers and targets records each reset of an open connection that its target
did not send, and each connection whose segments reached other targets only.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.connection_agent import receive_from_target
from lycheeglade.connection_agent import receive_message as agent_receive
from lycheeglade.connection_agent import tick as tick_agent
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    ConnectionAgentActions,
)
from lycheeglade.connection_balancer import receive_message as balancer_receive
from lycheeglade.connection_balancer import (
    receive_segment,
    update_routing,
)
from lycheeglade.connection_balancer import tick as tick_balancer
from lycheeglade.connection_balancer_state import (
    ConnectionBalancer,
    ConnectionBalancerActions,
)
from lycheeglade.connection_limits import DEFAULT_LIMITS, ConnectionLimits
from lycheeglade.connection_load import MS_PER_S, announce_exit
from lycheeglade.segment import (
    SEQUENCE_SPACE,
    ConnectionKey,
    Segment,
    sequence_distance,
)
from tests.connections import CALLER, OWN_ZONE, ROUTE, SERVICE, make_target, make_view

AGENT_TICK_S = 0.05
BALANCER_TICK_S = 0.02
COPY_TIMES_S = (0.0, 0.2, 0.6)
ATTEMPT_S = 1.4
MAX_RETRANSMISSIONS = 7
REQUEST_BYTES = 100
ANSWER_BYTES = 1000
# A disturbance of a machine excuses what happens to it within this time.
STABILITY_WINDOW_S = 2.0
FLOW_TIMEOUT_S = 2.0
MIN_STRAYS = 3
EPOCH_MS = 1_700_000_000_000


@dataclass
class Attempt:
    """A caller's attempt to open a connection, and the connection."""

    number: int
    key: ConnectionKey
    sequence: int
    until: float
    state: str = "opening"
    acknowledgement: int = 0
    next_sequence: int = 0
    awaits_answer: bool = False
    target: Address | None = None
    last_own_at: float = 0.0
    strays: list = field(default_factory=list)


@dataclass
class Flow:
    """A connection at a target."""

    caller_sequence: int
    sequence: int
    state: str = "half"
    sent: int = 0
    received: int = 0
    attempt: int = 0


@dataclass
class SimulatedTarget:
    """Holds connections and returns segments of unknown ones."""

    started_at: float
    flows: dict = field(default_factory=dict)
    service_time: float = 0.01
    accepts: bool = True


@dataclass
class Fleet:
    """One service with its balancers, agents, targets and callers.

    Attributes
    ----------
    reuse_s : tuple of float
        Shortest and longest time between a caller's connections.
    reuse_share : float
        Share of the callers' connections that use the previous one's port.
    slow_share : float
        Share of the openings that a target accepts late, so that another
        target may accept them too.
    matches_by_key : bool
        Whether a target takes any segment with the addresses of an open or
        ended connection as one of it, whatever it acknowledges.
    """

    seed: int
    balancer_count: int = 3
    target_count: int = 5
    callers: int = 12
    reuse_s: tuple[float, float] = (0.02, 8.0)
    reuse_share: float = 0.0
    matches_by_key: bool = False
    slow_share: float = 0.1
    limits: ConnectionLimits = DEFAULT_LIMITS

    def __post_init__(self):
        self.random = Random(self.seed)
        self.now = 100.0
        self.numbers = count()
        self.unused_ports = count(40000)
        self.events = []
        self.violations = []
        self.excused = Counter()
        self.counts = Counter()
        self.attempts = []
        self.attempt_by_datagram = {}
        self.balancer_by_datagram = {}
        self.segments = {}
        self.current = {}
        self.disturbed_at = {}
        self.frozen = {}
        self.link_faults = {}
        self.log = []
        self.reset_causes = {}
        self.view_revision = 5
        self.targets_by_agent = {
            t.agent: replace(t, lifetime=EPOCH_MS + 40_000)
            for t in (make_target(n + 1) for n in range(self.target_count))
        }
        self.listed = dict(self.targets_by_agent)
        self.targets = {a: SimulatedTarget(40.0) for a in self.targets_by_agent}
        self.agents = {a: self._make_agent(a, 30.0) for a in self.targets_by_agent}
        self.addresses = [
            Address(f"10.1.0.{10 + n}", 7720) for n in range(self.balancer_count)
        ]
        self.rotation = list(self.addresses)
        self.balancers = {a: self._make_balancer(a) for a in self.addresses}
        for agent in self.agents:
            self.after(self.random.random() * AGENT_TICK_S, self._tick_agent, agent)
        for address in self.addresses:
            delay = self.random.random() * BALANCER_TICK_S
            self.after(delay, self._tick_balancer, address)
        for _ in range(self.callers):
            self.after(1.0 + self.random.random(), self._open, next(self.unused_ports))

    # Events and links.

    def after(self, delay, act, *arguments):
        heappush(self.events, (self.now + delay, next(self.numbers), act, arguments))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, act, arguments = heappop(self.events)
            act(*arguments)
        self.now = end

    def _transmit(self, source, destination, act, *arguments):
        """Call `act` after the link's delay unless the datagram is lost."""
        delay = 0.0003 + self.random.random() * 0.0007
        for machine in (source, destination):
            loss, extra = self.link_faults.get(machine, (0.0, 0.0))
            if self.random.random() < loss:
                return
            delay += self.random.random() * extra
        self.after(delay, self._arrive, destination, act, arguments)

    def _arrive(self, destination, act, arguments):
        if destination in self.frozen:
            self.frozen[destination].append((act, arguments))
        else:
            act(*arguments)

    # Processes.

    def _make_view(self):
        view = make_view(list(self.listed.values()), [replace(ROUTE, repeatable=True)])
        return replace(view, revision=self.view_revision)

    def publish(self):
        """Send the listed targets to all balancers."""
        self.view_revision += 1
        view = self._make_view()
        for address in self.addresses:
            self.after(self.random.random() * 0.3, self._update, address, view)

    def _update(self, address, view):
        if address in self.frozen:
            self.after(0.1, self._update, address, view)
        elif address in self.balancers:
            update_routing(self.balancers[address], view, self.now)

    def _make_balancer(self, address):
        def send(to, message):
            self._transmit(address, to, self._agent_message, to, message, address)

        def reset(key, acknowledgement):
            arguments = key, "balancer", address
            self._transmit(address, None, self._caller_reset, *arguments)

        actions = ConnectionBalancerActions(send, reset, self._make_log(address))
        balancer = ConnectionBalancer(
            OWN_ZONE, address, actions, Random(self.random.random()), self.limits
        )
        update_routing(balancer, self._make_view(), self.now)
        return balancer

    def _make_agent(self, address, started_at):
        def send(to, message):
            self._transmit(address, to, self._message, to, message, address)

        def reset(key, acknowledgement):
            arguments = key, "agent", address
            self._transmit(address, None, self._caller_reset, *arguments)

        actions = ConnectionAgentActions(
            send=send,
            deliver=lambda segment, tag: self.after(
                0.0001, self._target_receive, address, replace(segment, tag=tag)
            ),
            answer=lambda segment: self._transmit(
                address, None, self._caller_receive, segment, address
            ),
            reset=reset,
            decode=self.segments.__getitem__,
            log=self._make_log(address),
            record=lambda stage, seconds: None,
        )
        return ConnectionAgent(
            "booth-sync",
            self.random.getrandbits(32),
            actions,
            started_at,
            self.limits,
            EPOCH_MS + started_at * MS_PER_S,
        )

    def _make_log(self, address):
        def log(event, **fields):
            if event in ("reset", "refused") and "connection" in fields:
                cause = fields["cause"], fields.get("given_up", "")
                self.reset_causes[fields["connection"]] = cause
            if event not in ("load", "placed", "agent", "found"):
                self.note(event, address.ip, fields)

        return log

    def note(self, *event):
        self.log.append((round(self.now, 4), *event))

    def _agent_message(self, to, message, source):
        if to in self.agents:
            agent_receive(self.agents[to], message, source, self.now)

    def _message(self, to, message, source):
        if to in self.balancers:
            balancer_receive(self.balancers[to], message, source, self.now)
        else:
            self._agent_message(to, message, source)

    def _tick_agent(self, address):
        self.after(AGENT_TICK_S, self._tick_agent, address)
        if address in self.agents and address not in self.frozen:
            tick_agent(self.agents[address], self.now)

    def _tick_balancer(self, address):
        self.after(BALANCER_TICK_S, self._tick_balancer, address)
        if address in self.balancers and address not in self.frozen:
            tick_balancer(self.balancers[address], self.now)

    # Callers.

    def _open(self, port):
        key = ConnectionKey(Address(CALLER.ip, port), SERVICE)
        self.counts["attempts"] += 1
        until = self.now + self.random.expovariate(1 / 4.0)
        attempt = Attempt(len(self.attempts), key, self.random.getrandbits(32), until)
        self.attempts.append(attempt)
        self.current[key] = attempt
        for copies, delay in enumerate(COPY_TIMES_S):
            self.after(delay, self._send_opening, attempt, copies)
        self.after(ATTEMPT_S, self._give_up_opening, attempt)

    def _send_opening(self, attempt, copies):
        if attempt.state == "opening":
            self._send(
                attempt,
                opens=True,
                sequence=attempt.sequence,
                acknowledgement=copies,
            )

    def _give_up_opening(self, attempt):
        if attempt.state == "opening":
            self.counts["unopened"] += 1
            self._close(attempt)

    def _close(self, attempt):
        if attempt.state == "closed":
            return
        attempt.state = "closed"
        self._judge_strays(attempt)
        port = attempt.key.caller.port
        if self.random.random() >= self.reuse_share:
            port = next(self.unused_ports)
        self.after(self.random.uniform(*self.reuse_s), self._open, port)

    def _send(self, attempt, **fields):
        segment = Segment(attempt.key.caller, SERVICE, **fields)
        datagram = f"{attempt.number} {segment!r}".encode()
        segment = replace(segment, datagram=datagram)
        self.segments[datagram] = segment
        self.attempt_by_datagram[datagram] = attempt
        chosen = self.rotation[
            xxh3_64_intdigest(f"{attempt.key} {len(self.rotation)}".encode())
            % len(self.rotation)
        ]
        self._transmit(None, chosen, self._balancer_receive, chosen, segment)

    def _balancer_receive(self, address, segment):
        if address in self.balancers:
            self.balancer_by_datagram[segment.datagram] = address
            receive_segment(self.balancers[address], segment, self.now)

    def _send_request(self, attempt):
        if attempt.state != "open" or attempt.awaits_answer:
            return
        if self.now > attempt.until:
            if self.random.random() < 0.7:
                self._send(
                    attempt,
                    finishes=True,
                    acknowledges=True,
                    sequence=attempt.next_sequence,
                    acknowledgement=attempt.acknowledgement,
                )
            self._close(attempt)
            return
        attempt.awaits_answer = True
        self.counts["requests"] += 1
        self._transmit_request(attempt, attempt.next_sequence, 0, 0.2)

    def _transmit_request(self, attempt, sequence, retransmissions, pause):
        if attempt.state != "open" or attempt.next_sequence != sequence:
            return
        if retransmissions > MAX_RETRANSMISSIONS:
            self.counts["unanswered"] += 1
            self._close(attempt)
            return
        self._send(
            attempt,
            acknowledges=True,
            sequence=sequence,
            acknowledgement=attempt.acknowledgement,
            data_bytes=REQUEST_BYTES,
        )
        arguments = attempt, sequence, retransmissions + 1, min(1.6, 2 * pause)
        self.after(pause, self._transmit_request, *arguments)

    def _caller_receive(self, segment, sender):
        attempt = self.current.get(segment.key_from_target)
        if attempt is None or attempt.state == "closed":
            return
        if segment.resets:
            if attempt.target not in (None, sender):
                self._judge_reset(attempt, "other target", sender)
            elif attempt.state == "open":
                self.counts["target resets"] += 1
                self._close(attempt)
        elif segment.opens:
            if attempt.state == "opening" and segment.acknowledgement == (
                attempt.sequence + 1
            ):
                attempt.state = "open"
                attempt.acknowledgement = (segment.sequence + 1) % SEQUENCE_SPACE
                attempt.next_sequence = (attempt.sequence + 1) % SEQUENCE_SPACE
                self._acknowledge(attempt)
                delay = self.random.choice([0.0, 0.0, 0.3])
                self.after(delay, self._send_request, attempt)
        elif segment.data_bytes and attempt.state == "open":
            if segment.sequence != attempt.acknowledgement or sender != attempt.target:
                return
            attempt.acknowledgement = segment.end
            attempt.next_sequence = segment.acknowledgement
            attempt.awaits_answer = False
            self.counts["answers"] += 1
            self._acknowledge(attempt)
            pause = self.random.choice([0.01, 0.1, 0.5, 2.0])
            self.after(pause, self._send_request, attempt)

    def _acknowledge(self, attempt):
        self._send(
            attempt,
            acknowledges=True,
            sequence=attempt.next_sequence,
            acknowledgement=attempt.acknowledgement,
        )

    def _caller_reset(self, key, kind, sender):
        attempt = self.current.get(key)
        if attempt is None or attempt.state == "closed":
            return
        self.counts["system resets"] += 1
        if self._is_held(attempt):
            self._judge_reset(attempt, kind, sender)
        if attempt.state == "opening" or not self._is_held(attempt):
            self._close(attempt)

    # Targets.

    def _target_receive(self, address, segment):
        target = self.targets.get(address)
        if target is None:
            return
        attempt = self.attempt_by_datagram[segment.datagram]
        key = segment.key_from_caller
        flow = target.flows.get(key)
        if segment.opens:
            self._target_opening(address, target, key, flow, segment)
            return
        is_known = flow is not None and self._is_of_flow(flow, segment)
        if is_known and flow.state == "half":
            flow.state = "open"
            flow.attempt = attempt.number
            if self.current.get(key) is attempt and attempt.target is None:
                attempt.target = address
                attempt.last_own_at = self.now
        self._observe(attempt, address, segment)
        if not is_known:
            self._target_send(address, replace(segment, returned=True))
        elif flow.state == "ended":
            if segment.finishes:
                self._answer(address, segment, flow, acknowledges=True)
            elif segment.data_bytes:
                self._answer(address, segment, flow, resets=True)
        elif segment.finishes:
            flow.state = "ended"
            self._answer(address, segment, flow, acknowledges=True, finishes=True)
        elif segment.data_bytes:
            delay = self.random.expovariate(1 / target.service_time)
            self.after(delay, self._serve, address, target, key, flow, segment)

    def _is_of_flow(self, flow, segment):
        if self.matches_by_key and flow.state != "half":
            return True
        ahead = sequence_distance(flow.sequence, segment.acknowledgement)
        return 1 <= ahead <= 1 + flow.sent

    def _target_opening(self, address, target, key, flow, segment):
        if flow is not None and flow.state != "ended":
            if flow.caller_sequence == segment.sequence:
                if flow.state == "half":
                    self._answer_opening(address, segment, flow)
                return
        elif not target.accepts:
            self._target_send(address, replace(segment, returned=True))
            return
        flow = Flow(segment.sequence, self.random.getrandbits(32))
        target.flows[key] = flow
        delay = 0.0002
        if self.random.random() < self.slow_share:
            delay = self.random.choice([0.05, 0.25, 0.7])
        self.after(delay, self._answer_opening, address, segment, flow)

    def _answer_opening(self, address, segment, flow):
        answer = Segment(
            SERVICE,
            segment.source,
            opens=True,
            acknowledges=True,
            sequence=flow.sequence,
            acknowledgement=segment.sequence + 1,
        )
        self._target_send(address, answer)

    def _answer(self, address, segment, flow, **fields):
        answer = Segment(
            SERVICE,
            segment.source,
            sequence=(flow.sequence + 1 + flow.sent) % SEQUENCE_SPACE,
            acknowledgement=segment.end,
            **fields,
        )
        self._target_send(address, answer)

    def _serve(self, address, target, key, flow, segment):
        if self.targets.get(address) is not target or target.flows.get(key) is not flow:
            return
        if flow.state != "open":
            return
        if self.random.random() < 0.02:
            flow.state = "ended"
            self._answer(address, segment, flow, resets=True)
            return
        ahead = sequence_distance(flow.caller_sequence + 1, segment.sequence)
        sent_before = flow.sent
        if ahead == flow.received:
            flow.received += REQUEST_BYTES
            flow.sent += ANSWER_BYTES
        else:
            sent_before = flow.sent - ANSWER_BYTES
        answer = Segment(
            SERVICE,
            segment.source,
            acknowledges=True,
            sequence=(flow.sequence + 1 + sent_before) % SEQUENCE_SPACE,
            acknowledgement=segment.end,
            data_bytes=ANSWER_BYTES,
        )
        self._target_send(address, answer)

    def _target_send(self, address, segment):
        self.after(0.0001, self._agent_from_target, address, segment)

    def _agent_from_target(self, address, segment):
        if address in self.agents and address not in self.frozen:
            receive_from_target(self.agents[address], segment, self.now)

    # Observer.

    def _is_held(self, attempt):
        """Return whether the target of a connection holds it."""
        target = self.targets.get(attempt.target)
        flow = target and target.flows.get(attempt.key)
        return bool(
            flow
            and flow.state == "open"
            and flow.attempt == attempt.number
            and attempt.state == "open"
        )

    def is_in_touch(self, *machines):
        return all(
            self.now - self.disturbed_at.get(machine, 0.0) >= STABILITY_WINDOW_S
            for machine in machines
        )

    def _judge_reset(self, attempt, kind, sender):
        if not self._is_held(attempt):
            return
        cause = self.reset_causes.get(attempt.key, "") if kind == "balancer" else ""
        what = ("reset", attempt.number, str(attempt.key), kind, sender.ip, cause)
        self.note("VIOLATION", *what, attempt.target.ip)
        if self.is_in_touch(sender, attempt.target):
            self.violations.append((self.now, *what))
        else:
            self.excused["reset"] += 1

    def _observe(self, attempt, address, segment):
        if attempt.target is None or not self._is_held(attempt):
            return
        if address == attempt.target:
            self._judge_strays(attempt)
            attempt.last_own_at = self.now
            attempt.strays = []
        else:
            self.counts["strays"] += 1
            via = self.balancer_by_datagram[segment.datagram]
            self.note("stray", attempt.number, str(attempt.key), via.ip, address.ip)
            if self.is_in_touch(via, attempt.target):
                attempt.strays.append((self.now, via, segment.datagram))
            else:
                self.excused["stray"] += 1

    def _judge_strays(self, attempt):
        # A search sends a copy of one segment to many targets.
        strays = len({stray[1:] for stray in attempt.strays})
        self.counts["most strays"] = max(self.counts["most strays"], strays)
        if strays < MIN_STRAYS or self.now - attempt.strays[0][0] < FLOW_TIMEOUT_S:
            return
        what = ("elsewhere", attempt.number, str(attempt.key))
        self.note("VIOLATION", *what)
        self.violations.append((self.now, *what))

    # Faults.

    def disturb(self, machine, seconds=0.0):
        """Record an unplanned disturbance of a machine that ends later."""
        end = max(self.disturbed_at.get(machine, 0.0), self.now + seconds)
        self.disturbed_at[machine] = end

    def restart_balancer(self, address, down=0.3):
        """Take a balancer out of rotation and start a new process."""
        if address not in self.rotation or len(self.rotation) < 2:
            return
        self.note("restart balancer", address.ip)
        self.rotation.remove(address)
        self.after(0.7, self._stop_balancer, address, down)

    def _stop_balancer(self, address, down):
        self.balancers.pop(address, None)
        self.after(down, self._start_balancer, address)

    def _start_balancer(self, address):
        self.balancers[address] = self._make_balancer(address)
        self.after(0.2, self._rejoin, address)

    def _rejoin(self, address):
        if address not in self.rotation:
            self.rotation.append(address)
            self.rotation.sort()

    def restart_agent(self, address, down):
        """Stop an agent as planned and start a new process."""
        if address not in self.agents:
            return
        self.note("restart agent", address.ip, down)
        for step in range(3):
            self.after(step * 0.02, self._announce, address, self.agents[address])
        self.after(0.1, self._stop_agent, address, down)

    def _announce(self, address, agent):
        if self.agents.get(address) is agent:
            announce_exit(agent, self.now)

    def _stop_agent(self, address, down):
        if self.agents.pop(address, None) is not None:
            self.after(down, self._start_agent, address)

    def _start_agent(self, address):
        if address not in self.agents:
            self.agents[address] = self._make_agent(address, self.now)

    def crash_agent(self, address, down):
        self.note("crash agent", address.ip, down)
        self.disturb(address, down)
        self._stop_agent(address, down)

    def crash_balancer(self, address, down):
        self.note("crash balancer", address.ip, down)
        self.disturb(address, down)
        self._stop_balancer(address, down)

    def crash_target(self, address, down):
        """End a target without notice; it starts again and knows nothing."""
        if address not in self.targets:
            return
        self.note("crash target", address.ip, down)
        self.disturb(address, down)
        del self.targets[address]
        self.after(down, self._start_target, address)
        if down > 1.5:
            self.after(1.5, self._unlist, address)

    def _unlist(self, address):
        self.listed.pop(address, None)
        self.publish()

    def _start_target(self, address):
        self.targets[address] = SimulatedTarget(self.now)
        lifetime = int(EPOCH_MS + self.now * MS_PER_S)
        target = replace(self.targets_by_agent[address], lifetime=lifetime)
        self.listed[address] = self.targets_by_agent[address] = target
        self.publish()

    def freeze(self, address, seconds):
        if address in self.frozen:
            return
        self.note("freeze", address.ip, seconds)
        self.disturb(address, seconds)
        self.frozen[address] = []
        self.after(seconds, self._thaw, address)

    def _thaw(self, address):
        backlog = self.frozen.pop(address)
        # The process reads its two sockets in any order.
        parts = [
            [each for each in backlog if each[0] == self._balancer_receive],
            [each for each in backlog if each[0] != self._balancer_receive],
        ]
        self.random.shuffle(parts)
        for act, arguments in parts[0] + parts[1]:
            act(*arguments)

    def disturb_link(self, address, loss, extra_delay, seconds):
        self.note("link", address.ip, loss, extra_delay, seconds)
        self.disturb(address, seconds)
        self.link_faults[address] = loss, extra_delay
        self.after(seconds, self._heal_link, address)

    def _heal_link(self, address):
        self.link_faults.pop(address, None)


def roll(fleet: Fleet, seconds: float) -> None:
    """Restart balancers and agents in turn, as planned."""
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.restart_balancer(fleet.random.choice(fleet.addresses))
        # A balancer that has just started does not know which agents restart.
        fleet.run(fleet.random.uniform(2.5, 4.0))
        fleet.restart_agent(
            fleet.random.choice(list(fleet.targets)), fleet.random.uniform(0.1, 1.0)
        )
        fleet.run(fleet.random.uniform(1.5, 2.5))


def disturb_at_random(fleet: Fleet, seconds: float) -> None:
    """Crash, pause and disconnect machines, as unplanned."""
    generator = fleet.random
    end = fleet.now + seconds
    while fleet.now < end:
        agent = generator.choice(list(fleet.targets_by_agent))
        balancer = generator.choice(fleet.addresses)
        machine = generator.choice([agent, balancer])
        match generator.randrange(6):
            case 0:
                fleet.crash_agent(agent, generator.uniform(0.1, 4.0))
            case 1:
                fleet.crash_target(agent, generator.uniform(0.05, 4.0))
            case 2:
                fleet.crash_balancer(balancer, generator.uniform(0.1, 2.0))
            case 3:
                fleet.freeze(machine, generator.uniform(0.3, 4.0))
            case 4:
                loss = generator.uniform(0.1, 0.9)
                fleet.disturb_link(machine, loss, 0.0, generator.uniform(0.2, 3.0))
            case 5:
                delay = generator.uniform(0.01, 1.5)
                fleet.disturb_link(machine, 0.0, delay, generator.uniform(0.2, 3.0))
        fleet.run(generator.uniform(0.2, 3.0))
