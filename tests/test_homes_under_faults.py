"""Invariants of drains and handoffs under faults.

Datagrams are lost, duplicated, delayed and reordered. Processes are paused for
up to 45 s, which is longer than a flow's idle time, or killed and restarted
without state. The next change is published before the last one has taken
effect everywhere.
"""

from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from msgspec.structs import replace as replace_struct

from demo.traces import mark_leaving, remove_target
from lycheeglade import handoff, takeover
from lycheeglade.agent import HANDLERS_BY_KIND
from lycheeglade.flow import FlowKey
from lycheeglade.packet import HandoffCommit
from lycheeglade.served_target import IncomingHandoff
from tests.conftest import make_machine_settings
from tests.faulty_fleet import FaultyFleet
from tests.fleet import MIN_LIVE_TARGETS, PLAN
from tests.test_replay import run_every_copy

TARGETS = st.sampled_from([f"t{number + 1}" for number in range(PLAN.targets)])
CALLERS = st.integers(0, PLAN.callers - 1)
PROCESSES = st.integers(0, 7)
EARLY = st.sets(PROCESSES, max_size=5)
DELAY = st.sampled_from([0.002, 0.05, 0.5, 3.0])
MOMENT = st.sampled_from([0.002, 0.0045, 0.007, 0.011, 0.3])
SECONDS = st.sampled_from([0.05, 1.0, 8.0])
JITTER = st.sampled_from([0.0005, 0.02, 0.3])
PAUSE = st.sampled_from([0.4, 1.2, 5.0, 45.0])
DOWN = st.sampled_from([0.01, 0.5, 5.0])
HANDOFF_S = 15.0


class FaultsMachine(RuleBasedStateMachine):
    """Planned changes, faults, requests and advances of time in any order."""

    @initialize(seed=st.integers(0, 3))
    def begin(self, seed):
        self.fleet = FaultyFleet(seed)

    def publish(self, service, early=(), delay=0.0):
        fleet = self.fleet
        live = sum(t.state.value == "live" for t in service.targets_by_id.values())
        if live >= MIN_LIVE_TARGETS:
            fleet.publish(
                service, {fleet.process_names[i] for i in sorted(early)}, delay
            )

    @rule(
        target_id=TARGETS,
        change=st.sampled_from([mark_leaving, remove_target]),
        early=EARLY,
        delay=DELAY,
    )
    def take_away(self, target_id, change, early, delay):
        if target_id in self.fleet.service.targets_by_id:
            self.publish(change(self.fleet.service, target_id), early, delay)

    @rule(target_id=TARGETS, early=EARLY, delay=DELAY)
    def bring_back(self, target_id, early, delay):
        targets = dict(self.fleet.service.targets_by_id)
        targets[target_id] = self.fleet.whole.targets_by_id[target_id]
        service = replace(self.fleet.service, targets_by_id=targets)
        self.publish(service, early, delay)

    @rule(
        caller=CALLERS,
        moment=MOMENT,
        is_home=st.booleans(),
        pause=st.none() | PAUSE,
        down=DOWN,
    )
    def fault_in_handoff(self, caller, moment, is_home, pause, down):
        """Drain a caller's home, and pause or kill one side of the handoff."""
        self.drain_home(caller)
        self.fleet.advance(moment)
        processes = self.fleet.find_handoff_processes(is_home=is_home)
        if processes:
            self.fault(processes[0], pause, down)

    @rule(
        caller=CALLERS,
        jitter_s=JITTER,
        loss=st.sampled_from([0.0, 0.0, 0.0, 0.3]),
    )
    def drain_over_bad_network(self, caller, jitter_s, loss):
        """Drain a caller's home while datagrams are duplicated or lost."""
        self.fleet.disturb_network(3.0, jitter_s, duplication=0.7, loss=loss)
        self.drain_home(caller)
        self.fleet.advance(1.0)

    def drain_home(self, caller):
        home = self.fleet.home_of(caller)
        if home is not None:
            self.publish(mark_leaving(self.fleet.service, home))

    @rule(index=PROCESSES, pause=st.none() | PAUSE, down=DOWN)
    def fault_anywhere(self, index, pause, down):
        self.fault(self.fleet.process_names[index], pause, down)

    def fault(self, name, pause, down):
        if self.fleet.is_last_balancer(name):
            return
        if pause is not None:
            self.fleet.pause(name, pause)
        elif self.fleet.is_up(name):
            self.fleet.kill(name, down)

    @rule(index=PROCESSES)
    def stop(self, index):
        name = self.fleet.process_names[index]
        if self.fleet.is_up(name) and not self.fleet.is_last_balancer(name):
            self.fleet.stop(name)

    @rule(index=PROCESSES)
    def start(self, index):
        if not self.fleet.is_up(self.fleet.process_names[index]):
            self.fleet.start(self.fleet.process_names[index])

    @rule(seconds=SECONDS, duplication=st.sampled_from([0.0, 0.5]), jitter_s=JITTER)
    def disturb_network(self, seconds, duplication, jitter_s):
        self.fleet.disturb_network(seconds, jitter_s, duplication=duplication)

    @rule(seconds=SECONDS, loss=st.sampled_from([0.1, 0.4]), jitter_s=JITTER)
    def lose_datagrams(self, seconds, loss, jitter_s):
        self.fleet.disturb_network(seconds, jitter_s, loss=loss)

    @rule(caller=CALLERS, repeatable=st.booleans(), other=st.booleans())
    def request(self, caller, repeatable, other):
        send_request = self.fleet.request_other if other else self.fleet.request
        send_request(caller, repeatable=repeatable)

    @rule(seconds=st.sampled_from([0.003, 0.05, 0.3, 1.0, 5.0, 12.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @invariant()
    def nothing_broken(self):
        if hasattr(self, "fleet"):
            self.fleet.check_always()

    def teardown(self):
        if hasattr(self, "fleet") and not self.fleet.has_failed:
            self.fleet.settle()


FaultsMachine.TestCase.settings = make_machine_settings(max_examples=20, steps=15)
TestFaultsMachine = FaultsMachine.TestCase


class DoublingMachine(FaultsMachine):
    """Planned changes over a network that duplicates and delays datagrams."""

    fault_in_handoff = fault_anywhere = lose_datagrams = stop = start = None

    def teardown(self):
        """Check for second homes before idle flows are closed."""
        if hasattr(self, "fleet") and not self.fleet.has_failed:
            self.fleet.advance(HANDOFF_S)
            self.fleet.check_homes()
        super().teardown()


def keep_closed_flow(monkeypatch):
    monkeypatch.setattr(handoff, "close_record", lambda *arguments: None)


def accept_any_commit(monkeypatch):
    receive = takeover.receive_handoff_commit

    def accept_commit(agent, served, packet, source, now):
        flow = FlowKey(packet.service, packet.caller_ip, packet.caller_port)
        if flow not in served.incoming_by_flow:
            served.incoming_by_flow[flow] = IncomingHandoff(
                packet.handoff_id, packet.home_target_id, now, []
            )
        served.incoming_by_flow[flow].handoff_id = packet.handoff_id
        receive(agent, served, packet, source, now)

    monkeypatch.setitem(HANDLERS_BY_KIND, HandoffCommit, accept_commit)


def never_withdraw_offers(monkeypatch):
    monkeypatch.setattr(handoff, "_withdraw_offer", lambda *arguments: None)


def reset_sequence(monkeypatch):
    import_feed = takeover._import_feed

    def import_first_sequence(feed, state, now):
        import_feed(feed, replace_struct(state, sequence=1), now)

    monkeypatch.setattr(takeover, "_import_feed", import_first_sequence)


def discard_sent_items(monkeypatch):
    import_feed = takeover._import_feed

    def import_without_sent_items(feed, state, now):
        import_feed(feed, replace_struct(state, recent_items=(), in_flight=None), now)

    monkeypatch.setattr(takeover, "_import_feed", import_without_sent_items)


@pytest.mark.parametrize(
    ("break_decision", "machine"),
    [
        (keep_closed_flow, DoublingMachine),
        (accept_any_commit, DoublingMachine),
        (never_withdraw_offers, FaultsMachine),
        (reset_sequence, FaultsMachine),
        (discard_sent_items, FaultsMachine),
        (run_every_copy, DoublingMachine),
    ],
)
def test_broken_decision_is_caught(monkeypatch, break_decision, machine):
    break_decision(monkeypatch)
    options = settings(
        derandomize=True,
        database=None,
        max_examples=100,
        stateful_step_count=15,
        phases=[Phase.generate],
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=options)
