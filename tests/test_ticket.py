import pytest

from lycheeglade.errors import TicketError
from lycheeglade.flow import FlowKey
from lycheeglade.ticket import (
    TicketAction,
    TicketRegistry,
)
from lycheeglade.ticket_format import TICKET_BYTES
from lycheeglade.ticket_store import MAX_UNUSED_PER_FLOW

FLOW = FlowKey("phrasebook", "127.0.0.9", 4000)
OTHER_FLOW = FlowKey("phrasebook", "127.0.0.9", 4001)


def make_registry(issuer="a", incarnation=1, **options):
    return TicketRegistry(b"key of " + issuer.encode(), issuer, incarnation, **options)


def decide(registry, ticket, flow=FLOW, digest=b"save", now=0.0):
    return registry.decide(ticket, flow, digest, now).action


def run(registry, ticket, outcome=b"2.04", now=0.0):
    assert decide(registry, ticket, now=now) is TicketAction.RUN
    registry.begin(ticket, b"save", now)
    registry.finish(ticket, outcome, now)


def test_runs_once_and_replays():
    registry = make_registry()
    ticket = registry.issue(FLOW, 0.0)
    assert len(ticket) == TICKET_BYTES <= 40
    assert decide(registry, ticket) is TicketAction.RUN
    registry.begin(ticket, b"save", 0.0)
    assert decide(registry, ticket) is TicketAction.RUNNING
    registry.finish(ticket, b"2.04", 1.0)
    decision = registry.decide(ticket, FLOW, b"save", 2.0)
    assert (decision.action, decision.outcome) == (TicketAction.REPLAY, b"2.04")
    assert decide(registry, ticket, digest=b"another") is TicketAction.CHALLENGE
    with pytest.raises(TicketError):
        registry.begin(ticket, b"save", 2.0)


def test_garbage_and_forgery_are_challenged():
    registry = make_registry()
    ticket = registry.issue(FLOW, 0.0)
    forged = ticket[:-1] + bytes([ticket[-1] ^ 1])
    for bad in (None, b"", b"\x01" * TICKET_BYTES, ticket[:-1], forged):
        assert decide(registry, bad) is TicketAction.CHALLENGE
    assert decide(registry, ticket) is TicketAction.RUN


@pytest.mark.parametrize("other", [("b", 1), ("a", 2)])
def test_ticket_of_another_agent_or_incarnation_is_unknown(other):
    assert (
        decide(make_registry(), make_registry(*other).issue(FLOW, 0.0))
        is TicketAction.UNKNOWN
    )


def test_used_ticket_from_another_flow_is_unknown():
    registry = make_registry()
    ticket = registry.issue(FLOW, 0.0)
    run(registry, ticket)
    assert decide(registry, ticket, OTHER_FLOW) is TicketAction.UNKNOWN


def test_unused_ticket_from_another_flow_is_void():
    registry = make_registry()
    ticket = registry.issue(FLOW, 0.0)
    assert decide(registry, ticket, OTHER_FLOW) is TicketAction.CHALLENGE
    assert decide(registry, ticket) is TicketAction.CHALLENGE


def test_forgotten_outcome_is_unknown_and_unused_ticket_is_not():
    registry = make_registry(lifetime=60.0)
    used, unused = registry.issue(FLOW, 0.0), registry.issue(FLOW, 0.0)
    run(registry, used)
    assert decide(registry, used, now=3600.0) is TicketAction.UNKNOWN
    assert decide(registry, unused, now=3600.0) is TicketAction.RUN
    registry.discard_unused(FLOW)
    assert decide(registry, unused, now=3600.0) is TicketAction.CHALLENGE
    assert len(registry) == 0


def test_full_memory_refuses_to_mint():
    registry = make_registry(max_outcomes=2, lifetime=60.0)
    dropped = registry.issue(FLOW, 0.0)
    tickets = [registry.issue(FLOW, 0.0), registry.issue(FLOW, 0.0)]
    assert decide(registry, dropped) is TicketAction.CHALLENGE
    for ticket in tickets:
        run(registry, ticket)
    assert registry.issue(FLOW, 59.0) is None
    assert [decide(registry, t, now=59.0) for t in tickets] == [TicketAction.REPLAY] * 2
    assert registry.issue(FLOW, 61.0) is not None


def test_unused_tickets_of_a_flow_are_bounded():
    registry = make_registry()
    tickets = [registry.issue(FLOW, 0.0) for _ in range(3 * MAX_UNUSED_PER_FLOW)]
    assert len(registry) == MAX_UNUSED_PER_FLOW
    assert decide(registry, tickets[0]) is TicketAction.CHALLENGE
    assert decide(registry, tickets[-1]) is TicketAction.RUN


def test_successor_honours_exported_tickets():
    old, new = make_registry("a"), make_registry("b")
    used, running, unused = (old.issue(FLOW, 0.0) for _ in range(3))
    run(old, used)
    old.begin(running, b"save", 0.0)
    state = old.export_flow(FLOW, 1.0)
    assert new.import_flow(FLOW, state, 1.0)
    for ticket in (used, running, unused):
        for flow in (FLOW, OTHER_FLOW):
            assert decide(old, ticket, flow, now=1.0) is TicketAction.UNKNOWN
    assert decide(new, used, now=1.0) is TicketAction.REPLAY
    assert decide(new, running, now=1.0) is TicketAction.UNKNOWN
    run(new, unused, now=1.0)
    assert not new.import_flow(FLOW, state, 9999.0)
    assert decide(new, unused, now=9999.0) is TicketAction.UNKNOWN


def test_flow_comes_home():
    old, new = make_registry("a"), make_registry("b")
    unused = old.issue(FLOW, 0.0)
    first = old.export_flow(FLOW, 0.0)
    new.import_flow(FLOW, first, 0.0)
    assert old.import_flow(FLOW, new.export_flow(FLOW, 0.0), 0.0)
    assert not new.import_flow(FLOW, first, 0.0)
    assert decide(new, unused) is TicketAction.UNKNOWN
    run(old, unused)


def test_broken_state_is_refused():
    with pytest.raises(TicketError):
        make_registry().import_flow(FLOW, b"\xc1", 0.0)
