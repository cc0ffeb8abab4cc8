"""State machine of callers, agents and a network that reorders and duplicates.

The callers follow the protocol: after "not run" they send the request again
with a new ticket, and after any other final answer they stop. Copies of each
message stay in the network and may arrive at any agent at any later time.
"""

from contextlib import suppress
from dataclasses import dataclass, field
from os import environ

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
    run_state_machine_as_test,
)

from lycheeglade.errors import TicketError
from lycheeglade.flow import FlowKey
from lycheeglade.ticket import TicketAction, TicketDecision, TicketRegistry
from lycheeglade.ticket_format import is_well_formed

FLOWS = [FlowKey("phrasebook", "127.0.0.9", port) for port in (4000, 4001)]
AGENTS = ("a", "b", "c")
MAX_OUTCOMES = 4
LIFETIME_S = 60.0
HOME_OR_ANY = st.none() | st.sampled_from(AGENTS)


@dataclass(eq=False)
class Request:
    number: int
    runs: int = 0
    stopped: bool = False


@dataclass(eq=False)
class Attempt:
    """One request with one ticket, of which all copies are equal."""

    request: Request
    ticket: bytes | None
    flow: FlowKey
    runs: int = 0
    answered_not_run: bool = False
    refused: bool = False

    @property
    def digest(self):
        return self.request.number.to_bytes(4, "big")


@dataclass
class Agent:
    name: str
    incarnation: int = 0
    running: list[Attempt] = field(default_factory=list)
    ready: set[int] = field(default_factory=set)

    def __post_init__(self):
        self.start()

    def start(self):
        self.incarnation += 1
        self.running = []
        self.ready = set()
        self.registry = TicketRegistry(
            f"{self.name}{self.incarnation}".encode(),
            self.name,
            self.incarnation,
            MAX_OUTCOMES,
            LIFETIME_S,
        )


class TicketMachine(RuleBasedStateMachine):
    decide = staticmethod(TicketRegistry.decide)
    begin = staticmethod(TicketRegistry.begin)
    import_flow = staticmethod(TicketRegistry.import_flow)

    attempts = Bundle("attempts")
    tickets = Bundle("tickets")
    commits = Bundle("commits")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.requests = []
        self.sent = []
        self.handoffs = 0
        self.issuers = {}
        self.flows = {}
        self.maybe_used = set()
        self.homes = dict.fromkeys(FLOWS, AGENTS[0])
        self.agents = {name: Agent(name) for name in AGENTS}

    def new_attempt(self, request, ticket, flow):
        attempt = Attempt(request, ticket, flow)
        self.sent.append(attempt)
        return attempt

    def record_not_run(self, attempt):
        assert attempt.runs == 0, "answered 'not run' after a run"
        attempt.answered_not_run = True

    @rule(target=tickets, agent=HOME_OR_ANY, flow=st.sampled_from(FLOWS))
    def mint(self, agent, flow):
        agent = self.agents[agent or self.homes[flow]]
        ticket = agent.registry.issue(flow, self.now)
        if ticket is None:
            return multiple()
        self.issuers[ticket] = agent.registry
        self.flows[ticket] = flow
        return ticket, flow

    @rule(target=attempts, ticket=tickets)
    def send(self, ticket):
        request = Request(len(self.requests))
        self.requests.append(request)
        return self.new_attempt(request, *ticket)

    @rule(target=attempts, old=attempts, ticket=tickets)
    def send_again_after_not_run(self, old, ticket):
        request = old.request
        if not old.answered_not_run or request.stopped:
            return multiple()
        if any(a.request is request and a.ticket == ticket[0] for a in self.sent):
            return multiple()
        return self.new_attempt(request, *ticket)

    @rule(
        attempt=attempts,
        agent=HOME_OR_ANY,
        flow=st.none() | st.sampled_from(FLOWS),
        admitted=st.booleans(),
    )
    def deliver(self, attempt, agent, flow, admitted):
        agent = self.agents[agent or self.homes[attempt.flow]]
        flow = flow or attempt.flow
        decision = self.decide(
            agent.registry, attempt.ticket, flow, attempt.digest, self.now
        )
        match decision.action:
            case TicketAction.CHALLENGE:
                self.record_not_run(attempt)
            case TicketAction.RUN:
                self.run_or_refuse(agent, attempt, admitted)
            case TicketAction.RUNNING:
                assert attempt in agent.running
            case TicketAction.REPLAY:
                self.replay(attempt, decision.outcome)
            case TicketAction.UNKNOWN:
                assert not self.is_unused(agent, attempt)
                attempt.request.stopped = True

    def run_or_refuse(self, agent, attempt, admitted):
        self.maybe_used.add(attempt.ticket)
        self.begin(agent.registry, attempt.ticket, attempt.digest, self.now)
        if admitted:
            attempt.runs += 1
            attempt.request.runs += 1
            agent.running.append(attempt)
            return
        attempt.refused = True
        agent.registry.finish(attempt.ticket, self.outcome_of(attempt), self.now)
        self.record_not_run(attempt)

    def replay(self, attempt, outcome):
        assert outcome == self.outcome_of(attempt)
        if attempt.refused:
            self.record_not_run(attempt)
        else:
            attempt.request.stopped = True

    def is_unused(self, agent, attempt):
        """Return whether the agent issued the ticket and it was never used."""
        issuer = self.issuers[attempt.ticket]
        return issuer is agent.registry and attempt.ticket not in self.maybe_used

    def outcome_of(self, attempt):
        return b"not run" if attempt.refused else b"done" + attempt.digest

    @rule(agent=HOME_OR_ANY, flow=st.sampled_from(FLOWS))
    def finish(self, agent, flow):
        agent = self.agents[agent or self.homes[flow]]
        if agent.running:
            attempt = agent.running.pop(0)
            agent.registry.finish(attempt.ticket, self.outcome_of(attempt), self.now)

    @rule(agent=st.sampled_from(AGENTS))
    def restart(self, agent):
        self.agents[agent].start()

    @rule(seconds=st.sampled_from([1.0, 50.0, 600.0]))
    def pause(self, seconds):
        self.now += seconds

    @rule(
        target=commits,
        agent=HOME_OR_ANY,
        successor=st.sampled_from(AGENTS),
        flow=st.sampled_from(FLOWS),
        arrives=st.booleans(),
    )
    def hand_off(self, agent, successor, flow, arrives):
        agent = agent or self.homes[flow]
        if agent == successor:
            return multiple()
        self.handoffs += 1
        self.agents[successor].ready.add(self.handoffs)
        self.maybe_used.update(t for t, owner in self.flows.items() if owner == flow)
        self.homes[flow] = successor
        state = self.agents[agent].registry.export_flow(flow, self.now)
        commit = self.handoffs, successor, flow, state
        if arrives:
            self.deliver_copy(commit)
        return commit

    @rule(commit=commits)
    def deliver_commit(self, commit):
        self.deliver_copy(commit)

    def deliver_copy(self, commit):
        handoff, successor, flow, state = commit
        successor = self.agents[successor]
        # An incarnation accepts only handoffs that it has agreed to.
        if handoff in successor.ready:
            self.import_flow(successor.registry, flow, state, self.now)

    @rule(target=commits, step=st.integers(1, len(AGENTS) - 1), attempt=attempts)
    def serve_and_hand_on(self, step, attempt):
        """Deliver an attempt at its flow's home, then move the flow."""
        self.deliver(attempt, None, None, True)
        home = AGENTS.index(self.homes[attempt.flow])
        successor = AGENTS[(home + step) % len(AGENTS)]
        return self.hand_off(None, successor, attempt.flow, True)

    @rule(commit=commits)
    def deliver_late_copies(self, commit):
        """Deliver an old state, and all old requests of its flow, again."""
        _, successor, flow, _ = commit
        self.deliver_copy(commit)
        for attempt in self.sent:
            if attempt.flow == flow:
                self.deliver(attempt, successor, None, True)

    @rule(commit=consumes(commits))
    def lose_commit(self, commit):
        pass

    @invariant()
    def runs_at_most_once(self):
        assert all(request.runs <= 1 for request in self.requests), (
            "a request ran twice"
        )

    @invariant()
    def not_run_is_true(self):
        assert not any(a.answered_not_run and a.runs for a in self.sent), (
            "answered 'not run' after a run"
        )

    @invariant()
    def memory_is_bounded(self):
        for agent in self.agents.values():
            assert len(agent.registry) <= MAX_OUTCOMES


def accept_any_registry(registry, ticket, flow, digest, now):
    """Broken on purpose: accepts any well-formed ticket."""
    decision = registry.decide(ticket, flow, digest, now)
    if decision.action is TicketAction.UNKNOWN and is_well_formed(ticket):
        return TicketDecision(TicketAction.RUN)
    return decision


def begin_any_ticket(registry, ticket, digest, now):
    with suppress(TicketError):
        registry.begin(ticket, digest, now)


class BrokenMachine(TicketMachine):
    decide = staticmethod(accept_any_registry)
    begin = staticmethod(begin_any_ticket)


def import_any_state(registry, flow, state, now):
    """Broken on purpose: imports a state older than one already imported."""
    registry._epochs_by_flow.clear()
    return registry.import_flow(flow, state, now)


class EpochlessMachine(TicketMachine):
    restart = pause = finish = lose_commit = send_again_after_not_run = None
    import_flow = staticmethod(import_any_state)


def seeded_settings(**options):
    """Return the settings of CI, or of a longer run.

    LYCHEEGLADE_EXAMPLES sets the number of examples of a longer run.
    """
    examples = environ.get("LYCHEEGLADE_EXAMPLES")
    return settings(
        max_examples=int(examples or 100),
        report_multiple_bugs=False,
        **options,
        derandomize=not examples,
        stateful_step_count=40,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


def test_no_request_runs_twice():
    run_state_machine_as_test(TicketMachine, settings=seeded_settings())


@pytest.mark.parametrize("machine", [BrokenMachine, EpochlessMachine])
def test_machine_catches_a_broken_decision(machine):
    with pytest.raises(AssertionError, match=r"ran twice|after a run"):
        run_state_machine_as_test(
            machine, settings=seeded_settings(phases=[Phase.generate])
        )
