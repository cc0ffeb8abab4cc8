"""The order of openings with known times, and that the agent loses none."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheeglade.connection_agent import receive_from_target, receive_message, tick
from lycheeglade.opening_order import ADMISSIONS_PER_LOWER_TURN, OpeningOrder
from lycheeglade.opening_queue import MAX_HOLD_S
from lycheeglade.opening_times import (
    CALLER_ATTEMPT_S,
    EXPIRED_S,
    is_timed,
    reduce_times,
    times_left,
)
from lycheeglade.relay_message import ForwardSegment, OpeningHeld, OpeningRefused
from lycheeglade.segment import ConnectionKey
from tests.conftest import make_machine_settings
from tests.connections import (
    BALANCER,
    SERVICE,
    AgentRecorder,
    data,
    from_target,
    opening,
)

AIM_S = 0.3
ANSWER_S = 0.04
KEYS = [ConnectionKey(opening(port).source, SERVICE) for port in range(40001, 40200)]
OTHER_AGENT = opening().source._replace(ip="10.1.1.9")
OTHER_BALANCER = BALANCER._replace(ip="10.1.0.11")


def make_message(priority, aim_left=AIM_S, time_left=CALLER_ATTEMPT_S):
    return ForwardSegment(
        BALANCER, b"", priority=priority, aim_left=aim_left, time_left=time_left
    )


def make_order(*openings):
    """Return an order with openings of (priority, aim), 1 ms apart."""
    order = OpeningOrder()
    for number, (priority, aim_left) in enumerate(openings):
        message = make_message(priority, aim_left)
        order.add(KEYS[number], message, MAX_HOLD_S, number / 1000)
    return order


def take_all(order):
    taken = []
    while (taken_now := order.take()) is not None:
        taken.append(KEYS.index(taken_now.key))
    return taken


def test_openings_in_time_go_by_priority_and_the_latest_of_one_first():
    order = make_order((2, 0.3), (1, 0.3), (1, 0.3), (2, 0.3))
    assert take_all(order) == [2, 1, 3, 0]


def test_late_openings_follow_in_the_same_order():
    """With different aims, openings don't turn late in order of arrival."""
    order = make_order((1, 0.2), (2, 0.3), (1, 0.1), (2, 0.1), (1, 0.3))
    order.mark_late(ANSWER_S, 0.2)
    assert take_all(order) == [4, 1, 2, 0, 3]


def test_lower_priorities_get_their_share_under_lasting_load():
    order = make_order(*[(1, 9.0)] * 60, *[(2, 9.0)] * 60, *[(3, 9.0)] * 60)
    taken = Counter(order.take().priority for _ in range(80))
    assert taken == {1: 40, 2: 20, 3: 20}


def test_many_lower_priorities_leave_turns_to_the_highest():
    """Five shares of a fourth would be more than all admissions."""
    order = make_order(*[(priority, 9.0) for priority in range(6)] * 30)
    taken = Counter(order.take().priority for _ in range(60))
    assert taken == dict.fromkeys(range(6), 10)


def test_opening_is_refused_only_if_its_wait_exceeds_the_time_left():
    order = make_order(*[(1, AIM_S)] * 12)
    now = 0.011
    # The oldest has eleven in front of it.
    wait = CALLER_ATTEMPT_S - now
    assert order.take_hopeless(0.0, wait / 11 - 0.001, now) == []
    assert order.take_hopeless(0.0, wait / 11 + 0.001, now) == KEYS[:1]
    assert order.take_hopeless(1.4, 0.0, now) == KEYS[1:11]


def test_times_of_openings_that_left_are_not_kept_for_a_long_aim():
    """The aim's record stayed until the aim had passed."""
    order = OpeningOrder()
    kept = range(20)
    for port in kept:
        order.add(port, make_message(1, aim_left=600.0), MAX_HOLD_S, 0.0)
    for port in range(100, 2100):
        order.add(port, make_message(1, aim_left=600.0), MAX_HOLD_S, 0.0)
        assert order.take().key == port
    assert len(order._aims) < 200
    assert sorted(order.take_expired(MAX_HOLD_S)) == [*kept]


def test_wait_of_a_lower_priority_counts_its_share():
    """Behind many higher ones it would be refused, though it gets its turn."""
    order = make_order((2, AIM_S), *[(1, AIM_S)] * 30)
    assert KEYS[0] not in order.take_hopeless(0.0, 0.1, 0.03)


def test_times_are_reduced_but_never_become_unknown():
    assert times_left(0.0, 2.0, 0.5) == (0.0, 0.0)
    assert times_left(0.3, 2.0, 0.1) == (0.3 - 0.1, CALLER_ATTEMPT_S - 0.1)
    assert times_left(0.3, 0.8, 0.0) == (0.3, 0.8)
    assert reduce_times(0.0, 0.0, 0.7) == (0.0, 0.0)
    assert reduce_times(0.5, 0.5, 0.5) == (0.0, EXPIRED_S)
    assert is_timed(make_message(0, *reduce_times(0.5, 0.5, 0.5)))


steps = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 3), st.sampled_from([0.05, 0.3, 2.0])),
        st.tuples(st.just("take")),
        st.tuples(st.just("remove"), st.integers(0, 50)),
        st.tuples(st.just("wait"), st.sampled_from([0.01, 0.1])),
    ),
    max_size=200,
)


@given(steps)
def test_order_loses_no_opening_and_keeps_the_shares(steps):
    order = OpeningOrder()
    now = 0.0
    waiting = {}
    contested, taken_by_priority = Counter(), Counter()
    for number, (name, *arguments) in enumerate(steps):
        if name == "add":
            priority, aim_left = arguments
            key = ConnectionKey(opening(1 + number).source, SERVICE)
            order.add(key, make_message(priority, aim_left), MAX_HOLD_S, now)
            waiting[key] = priority
        elif name == "take":
            lower = {p for p in waiting.values() if p > min(waiting.values())}
            contested.update(lower)
            taken = order.take()
            assert (taken is None) == (not waiting)
            if taken is not None:
                assert waiting.pop(taken.key) == taken.priority
                if taken.priority in lower:
                    taken_by_priority[taken.priority] += 1
        elif name == "remove" and waiting:
            key = list(waiting)[arguments[0] % len(waiting)]
            assert order.remove(key).priority == waiting.pop(key)
        elif name == "wait":
            now += arguments[0]
            order.mark_late(ANSWER_S, now)
            for key in order.take_expired(now):
                del waiting[key]
        assert order.openings_by_key.keys() == waiting.keys()
        assert order.count_by_priority() == Counter(waiting.values())
    for priority, admissions in contested.items():
        # Two others may be due at the same time.
        behind = admissions - ADMISSIONS_PER_LOWER_TURN * taken_by_priority[priority]
        assert behind < ADMISSIONS_PER_LOWER_TURN + 2


class HeldOpenings(RuleBasedStateMachine):
    """An agent whose target is full, and balancers that bring openings.

    Each opening is delivered, forwarded or refused exactly once, and none is
    delivered after its caller has given up.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.recorder = AgentRecorder()
        self.agent = self.recorder.make()
        self.port = 1000
        self.given_up_at_by_port = {}
        self.outcomes_by_port = {}
        self.asked_at_target = set()

    @rule(
        priority=st.integers(0, 3),
        times=st.sampled_from(
            [(0.0, 0.0), (0.3, 1.4), (0.1, 1.2), (-0.5, 0.6), (-1.3, EXPIRED_S)]
        ),
        has_candidate=st.booleans(),
        count=st.integers(1, 8),
    )
    def open(self, priority, times, has_candidate, count):
        for _ in range(count):
            self.port += 1
            aim_left, time_left = times
            is_known = times != (0.0, 0.0)
            given_up_at = self.now + (time_left if is_known else MAX_HOLD_S + 0.3)
            self.given_up_at_by_port[self.port] = given_up_at
            self.outcomes_by_port[self.port] = []
            message = self.recorder.make_forward_segment(
                opening(self.port),
                candidates=(OTHER_AGENT,) * has_candidate,
                costs=(0.5,) * has_candidate,
                priority=priority,
                aim_left=aim_left,
                time_left=time_left,
            )
            receive_message(self.agent, message, BALANCER, self.now)
            self.follow_up()

    @rule(age=st.integers(0, 20))
    def copy_by_another_balancer(self, age):
        port = max(1001, self.port - age)
        key = ConnectionKey(opening(port).source, SERVICE)
        if key in self.agent.held_openings_by_key:
            message = self.recorder.make_forward_segment(
                opening(port, copies=1),
                balancer=OTHER_BALANCER,
                aim_left=0.1,
                time_left=1.2,
            )
            receive_message(self.agent, message, OTHER_BALANCER, self.now)
            self.follow_up()

    @rule(slowness=st.sampled_from([1, 5]), count=st.integers(1, 5))
    def target_answers(self, slowness, count):
        for port in sorted(self.asked_at_target)[:count]:
            self.wait(0.03 * slowness)
            self.asked_at_target.discard(port)
            answer = from_target(port, data_bytes=9)
            receive_from_target(self.agent, answer, self.now)
            self.follow_up()

    @rule(seconds=st.sampled_from([0.005, 0.1, 0.4]))
    def wait(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.02)
            tick(self.agent, self.now)
            self.follow_up()

    def follow_up(self):
        while self.recorder.delivered or self.recorder.sent:
            delivered, self.recorder.delivered[:] = list(self.recorder.delivered), []
            sent, self.recorder.sent[:] = list(self.recorder.sent), []
            for address, message in sent:
                self.take_message(address, message)
            for segment, _ in delivered:
                if segment.opens:
                    self.accept(segment.source.port)

    def take_message(self, address, message):
        if isinstance(message, ForwardSegment):
            assert address == OTHER_AGENT
            segment = self.recorder.segments_by_datagram[message.datagram]
            self.outcomes_by_port[segment.source.port].append("forwarded")
        elif isinstance(message, OpeningRefused) and address == BALANCER:
            self.outcomes_by_port[message.key.caller.port].append("refused")

    def accept(self, port):
        self.outcomes_by_port[port].append("delivered")
        assert self.now < self.given_up_at_by_port[port]
        answer = from_target(port, opens=True, acknowledges=True, sequence=1000)
        receive_from_target(self.agent, answer, self.now)
        message = self.recorder.make_forward_segment(data(port))
        receive_message(self.agent, message, BALANCER, self.now)
        self.asked_at_target.add(port)

    @invariant()
    def each_opening_has_one_outcome_or_waits(self):
        held = {key.caller.port for key in self.agent.held_openings_by_key}
        queue = self.agent.opening_queue
        queued = [*queue.held_since_by_key, *queue.order.openings_by_key]
        assert sorted(key.caller.port for key in queued) == sorted(held)
        for port, outcomes in self.outcomes_by_port.items():
            assert len(outcomes) == (port not in held), (port, outcomes)
            if port in held:
                assert self.now < self.given_up_at_by_port[port]

    @invariant()
    def nobody_is_reset_by_the_agent(self):
        assert self.recorder.resets == []

    def teardown(self):
        self.wait(MAX_HOLD_S + 0.3)
        assert self.agent.held_openings_by_key == {}


TestHeldOpenings = HeldOpenings.TestCase
TestHeldOpenings.settings = make_machine_settings(40, 40)


def test_copy_by_another_balancer_lets_it_wait_too():
    """It placed the connection at a second target, as it heard nothing."""
    recorder = AgentRecorder()
    agent = recorder.make()
    times = {"priority": 1, "aim_left": AIM_S, "time_left": CALLER_ATTEMPT_S}
    for port in range(1, 20):
        message = recorder.make_forward_segment(opening(port), **times)
        receive_message(agent, message, BALANCER, 0.0)
    key = next(iter(agent.held_openings_by_key))
    recorder.sent.clear()
    # A balancer of the previous build names no times and is not told.
    message = recorder.make_forward_segment(
        opening(key.caller.port, copies=1), balancer=OTHER_BALANCER
    )
    receive_message(agent, message, OTHER_BALANCER, 0.2)
    assert recorder.sent == []
    message = recorder.make_forward_segment(
        opening(key.caller.port, copies=1),
        **{**times, "balancer": OTHER_BALANCER, "time_left": CALLER_ATTEMPT_S - 0.2},
    )
    receive_message(agent, message, OTHER_BALANCER, 0.2)
    assert recorder.sent == [(OTHER_BALANCER, OpeningHeld(key))]
    for step in range(80):
        tick(agent, 0.2 + step * 0.02)
    refused = [to for to, m in recorder.sent if m == OpeningRefused(key)]
    delivered = [s for s, _ in recorder.delivered if s.key_from_caller == key]
    assert refused in ([], [OTHER_BALANCER, BALANCER])
    assert len(delivered) == (not refused)
