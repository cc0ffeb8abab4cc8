"""State machine of balancers and the agent of a target that starts cold.

The faults are restarts of the agent and of the target, copies of openings
through several balancers, load requests that arrive late, and balancers that
learn late of a restart. The machine checks that a target whose agent knows
that it is cold gets no more connections in any second than its limit, and that
a refused opening has not reached the target.
"""

from dataclasses import replace
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lycheeglade.connection_agent import receive_from_target
from lycheeglade.connection_agent import receive_message as agent_receive
from lycheeglade.connection_agent import tick as tick_agent
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    ConnectionAgentActions,
)
from lycheeglade.connection_balancer import receive_message as balancer_receive
from lycheeglade.connection_balancer import receive_segment, update_routing
from lycheeglade.connection_balancer import tick as tick_balancer
from lycheeglade.connection_balancer_state import (
    ConnectionBalancer,
    ConnectionBalancerActions,
)
from lycheeglade.opening_queue import MAX_HOLD_S
from lycheeglade.relay_message import LoadRequest, OpeningRefused
from lycheeglade.warmup import WarmupBounds
from tests.conftest import make_machine_settings
from tests.connections import (
    BALANCER,
    OWN_ZONE,
    from_target,
    make_target,
    make_view,
    opening,
)

BALANCERS = [BALANCER._replace(ip=f"10.1.0.{10 + number}") for number in range(3)]
TARGET = make_target(1, slots=20)
# The agent of this target is silent, so that openings return to the other.
SILENT = make_target(2)
BOUNDS = WarmupBounds(overage=1.5, slack=2.0)
RATE = 2.0
LIMIT = 5
WARMUP_S = 4.0
TICK_S = 0.05
CHOSEN = st.integers(0, len(BALANCERS) - 1)


class ColdTarget(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.generator = Random(1)
        self.port = 0
        self.lifetime = 1
        self.cold_until = self.now + WARMUP_S
        self.revision = 1
        self.are_requests_late = False
        self.late_requests = []
        self.segments = {}
        # Time and port of each opening segment that reached the target.
        self.delivered = []
        self.process = 0
        self.start_agent()
        self.balancers = {}
        for address in BALANCERS:
            self.balancers[address] = self.make_balancer(address)
            self.publish(address)

    def start_agent(self):
        self.process += 1
        self.is_told = self.knows_warmup = False
        self.delivered_by_process = set()
        process = self.process
        actions = ConnectionAgentActions(
            send=self.to_balancer,
            deliver=lambda segment, tag: self.deliver(segment),
            answer=lambda segment: None,
            reset=lambda key, ack: self.check_refused(key),
            decode=self.segments.__getitem__,
            log=lambda event, **fields: None,
            record=lambda stage, seconds: None,
        )
        self.agent = ConnectionAgent(
            "booth-sync", process, actions, self.now, warmup_bounds=BOUNDS
        )

    def make_balancer(self, address):
        actions = ConnectionBalancerActions(
            lambda to, message: self.to_agent(to, message, address),
            lambda key, ack: None,
            lambda event, **fields: None,
        )
        return ConnectionBalancer(
            OWN_ZONE,
            address,
            actions,
            self.generator,
            warmup_overage=BOUNDS.overage,
        )

    def to_agent(self, to, message, source):
        if to != TARGET.agent:
            return
        if not isinstance(message, LoadRequest):
            agent_receive(self.agent, message, source, self.now)
            return
        # Lifetime whose warmup the message names.
        lifetime = 0
        if message.warmup_left:
            lifetime = self.balancers[source].loads_by_agent[to].lifetime
        if self.are_requests_late:
            self.late_requests.append((message, source, lifetime))
        else:
            self.receive_request(message, source, lifetime)

    def receive_request(self, message, source, lifetime):
        self.is_told = True
        if lifetime == self.lifetime:
            self.knows_warmup = True
        agent_receive(self.agent, message, source, self.now)

    def to_balancer(self, to, message):
        if isinstance(message, OpeningRefused):
            self.check_refused(message.key)
        if to in self.balancers:
            balancer_receive(self.balancers[to], message, TARGET.agent, self.now)

    def check_refused(self, key):
        assert key.caller.port not in self.delivered_by_process

    def deliver(self, segment):
        port = segment.source.port
        self.delivered.append((self.now, port))
        self.delivered_by_process.add(port)
        recent = {number for at, number in self.delivered if self.now - at <= 1.0}
        if self.knows_warmup and self.now < self.cold_until:
            assert len(recent) <= LIMIT
        elif not self.is_told:
            assert len(recent & self.delivered_by_process) <= BOUNDS.slack
        answer = from_target(port, opens=True, acknowledges=True, sequence=1000)
        receive_from_target(self.agent, answer, self.now)

    def publish(self, address):
        self.revision += 1
        target = replace(
            TARGET,
            lifetime=self.lifetime,
            warmup_left=max(0.0, self.cold_until - self.now),
        )
        view = replace(
            make_view([target, SILENT], revision=self.revision),
            warmup_rates_by_service={"booth-sync": RATE},
        )
        update_routing(self.balancers[address], view, self.now)

    def send(self, port, number, copies=0):
        segment = opening(port, copies)
        self.segments[segment.datagram] = segment
        receive_segment(self.balancers[BALANCERS[number]], segment, self.now)

    @rule(number=CHOSEN, openings=st.integers(1, 12))
    def open(self, number, openings):
        for _ in range(openings):
            self.port += 1
            self.send(self.port, number)

    @rule(number=CHOSEN, back=st.integers(0, 8), copies=st.integers(1, 2))
    def copy(self, number, back, copies):
        if self.port > back:
            self.send(self.port - back, number, copies)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.95, 1.0, 1.05]))
    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + TICK_S)
            tick_agent(self.agent, self.now)
            for balancer in self.balancers.values():
                tick_balancer(balancer, self.now)

    @rule()
    def restart_agent(self):
        self.start_agent()

    @rule(number=CHOSEN)
    def restart_balancer(self, number):
        address = BALANCERS[number]
        self.balancers[address] = self.make_balancer(address)
        self.publish(address)

    @rule(learn=st.sets(CHOSEN))
    def restart_target(self, learn):
        """The target starts again under its ID; some balancers learn of it."""
        self.lifetime += 1
        self.cold_until = self.now + WARMUP_S
        # What the previous process had accepted is not in the new one.
        self.delivered.clear()
        self.delivered_by_process.clear()
        self.knows_warmup = False
        for number in learn:
            self.publish(BALANCERS[number])

    @rule(number=CHOSEN)
    def learn(self, number):
        self.publish(BALANCERS[number])

    @rule()
    def delay_requests(self):
        self.are_requests_late = True

    @rule()
    def deliver_late_requests(self):
        self.are_requests_late = False
        late, self.late_requests = self.late_requests, []
        for message, source, lifetime in late:
            self.receive_request(message, source, lifetime)

    def teardown(self):
        """Openings neither wait forever nor reach a cold target too late."""
        self.advance(MAX_HOLD_S + TICK_S)
        held = self.agent.opening_queue.held_since_by_key
        assert not [at for at in held.values() if self.now - at > MAX_HOLD_S + TICK_S]
        assert held.keys() == self.agent.held_openings_by_key.keys()


TestColdTarget = ColdTarget.TestCase
TestColdTarget.settings = make_machine_settings(150, 40)
