from asyncio import create_task, wait
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench.overload import serve
from lycheeglade.established import ESTABLISHED_TIMEOUT_S, EstablishedFlows
from lycheeglade.flow import FlowKey
from lycheeglade.overload import (
    MAX_BATCH_GAP,
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    OVERLOAD_AFTER,
    RAMP_TIME,
    RECOVERY_TIME,
    OverloadControl,
)
from tests.conftest import make_machine_settings

FLOWS = tuple(FlowKey("phrasebook", "127.0.0.9", 4000 + n) for n in range(200))
STEP = 0.05  # seconds between two batches


def read_batches(overload, now, seconds, drained):
    for _ in range(round(seconds / STEP)):
        now += STEP
        overload.record_batch(64, drained, now)
    return now


def share_admitted(overload, now):
    return sum(overload.admits(flow, now) for flow in FLOWS) / len(FLOWS)


def test_overload_keeps_established_flows_and_recovers_slowly():
    overload = OverloadControl(1000, Random(1))
    overload.established.record_answer(FLOWS[0], 10.0)
    now = read_batches(overload, 10.0, 0.2, drained=False)
    assert share_admitted(overload, now) == 1
    now = read_batches(overload, now, 0.2, drained=False)
    assert overload.admits(FLOWS[0], now)
    assert share_admitted(overload, now) == 1 / len(FLOWS)
    now = read_batches(overload, now, RECOVERY_TIME, drained=True)
    shares = []
    for _ in range(10):
        now = read_batches(overload, now, RAMP_TIME / 10, drained=True)
        shares.append(share_admitted(overload, now))
    assert shares == sorted(shares)
    assert 0.02 < shares[0] < 0.25
    assert shares[-1] > 0.9


def test_refused_flows_return_at_spread_times():
    overload = OverloadControl(1000, Random(1))
    now = read_batches(overload, 10.0, 40.0, drained=False)
    delays = sorted(overload.retry_after(now) for _ in range(1000))
    assert MIN_RETRY_AFTER <= delays[0] < MIN_RETRY_AFTER + 1
    assert MAX_RETRY_AFTER - 1 < delays[-1] <= MAX_RETRY_AFTER
    assert max(delays[n + 100] - delays[n] for n in range(900)) < 5


def test_a_backlog_from_a_pause_is_no_overload():
    overload = OverloadControl(1000, Random(1))
    now = read_batches(overload, 10.0, 0.1, drained=False)
    now = read_batches(overload, now + 60.0, 0.15, drained=False)
    assert share_admitted(overload, now) == 1


def test_a_table_in_use_to_two_thirds_forgets_hardly_any_flow():
    flows = [
        FlowKey("phrasebook", f"127.1.{n >> 8}.{n & 255}", 4000) for n in range(8192)
    ]
    established = EstablishedFlows(len(flows) * 3 // 2)
    for flow in flows:
        established.record_answer(flow, 10.0)
    held = sum(
        established.is_established(flow, 10.0 + ESTABLISHED_TIMEOUT_S) for flow in flows
    )
    assert held == len(established) > 0.97 * len(flows)
    unknown_flows = [flow._replace(caller_port=4001) for flow in flows]
    assert not any(established.is_established(flow, 10.0) for flow in unknown_flows)


def test_order_of_answers_in_one_moment_counts():
    established = EstablishedFlows(4)
    for number in (0, 1, 2, 3, 0, 4):
        established.record_answer(FLOWS[number], 10.0)
    assert [established.is_established(flow, 10.0) for flow in FLOWS[:5]] == [
        True,
        False,
        True,
        True,
        True,
    ]


async def test_bench_runs_on_the_sockets_of_the_daemon():
    server = create_task(serve())
    ended, _ = await wait([server], timeout=0.3)
    server.cancel()
    assert not ended, server.exception()


class OverloadMachine(RuleBasedStateMachine):
    """Checks batches, answers and pauses against a model of overload."""

    max_flows = 20

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.overload = OverloadControl(self.max_flows, Random(1))
        self.answers = {}
        self.batches = []

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.0, 7.0]), drained=st.booleans())
    def batches_for(self, seconds, drained):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.overload.record_batch(8, drained, self.now)
            self.batches.append((self.now, drained))

    @rule(flows=st.lists(st.sampled_from(FLOWS), max_size=40))
    def answer(self, flows):
        for flow in flows:
            self.overload.established.record_answer(flow, self.now)
            self.answers.pop(flow, None)
            self.answers[flow] = self.now

    @rule(seconds=st.sampled_from([MAX_BATCH_GAP * 2, ESTABLISHED_TIMEOUT_S + 1]))
    def pause(self, seconds):
        self.now += seconds

    @invariant()
    def established_flows_pass(self):
        late = list(self.answers)[-self.max_flows :]
        for flow in late:
            if self.now - self.answers[flow] <= ESTABLISHED_TIMEOUT_S:
                assert self.overload.admits(flow, self.now)

    @invariant()
    def new_flows_pass_only_without_overload(self):
        recent = [drained for at, drained in self.batches if self.now - at < 0.31]
        new_flows = [flow for flow in FLOWS if flow not in self.answers]
        admitted = [self.overload.admits(flow, self.now) for flow in new_flows]
        if len(recent) >= round(OVERLOAD_AFTER / STEP) + 2 and not any(recent):
            assert not any(admitted)
        recovery = RECOVERY_TIME + RAMP_TIME + STEP
        if all(drained for at, drained in self.batches if self.now - at <= recovery):
            assert all(admitted)

    @invariant()
    def memory_is_bounded(self):
        assert len(self.overload.established) <= self.max_flows

    @rule()
    def expiry_empties_the_memory(self):
        self.now += ESTABLISHED_TIMEOUT_S + 1
        self.overload.record_batch(self.max_flows, True, self.now)
        assert len(self.overload.established) == 0


TestOverloadMachine = OverloadMachine.TestCase
TestOverloadMachine.settings = make_machine_settings(max_examples=60, steps=20)
