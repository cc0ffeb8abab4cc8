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


def make_book(minter="a", incarnation=1, **options):
    return TicketRegistry(b"key of " + minter.encode(), minter, incarnation, **options)


def judge(book, ticket, flow=FLOW, digest=b"save", now=0.0):
    return book.decide(ticket, flow, digest, now).action


def run(book, ticket, outcome=b"2.04", now=0.0):
    assert judge(book, ticket, now=now) is TicketAction.RUN
    book.begin(ticket, b"save", now)
    book.finish(ticket, outcome, now)


def test_runs_once_and_replays():
    book = make_book()
    ticket = book.issue(FLOW, 0.0)
    assert len(ticket) == TICKET_BYTES <= 40
    assert judge(book, ticket) is TicketAction.RUN
    book.begin(ticket, b"save", 0.0)
    assert judge(book, ticket) is TicketAction.RUNNING
    book.finish(ticket, b"2.04", 1.0)
    verdict = book.decide(ticket, FLOW, b"save", 2.0)
    assert (verdict.action, verdict.outcome) == (TicketAction.REPLAY, b"2.04")
    assert judge(book, ticket, digest=b"another") is TicketAction.CHALLENGE
    with pytest.raises(TicketError):
        book.begin(ticket, b"save", 2.0)


def test_garbage_and_forgery_are_challenged():
    book = make_book()
    ticket = book.issue(FLOW, 0.0)
    forged = ticket[:-1] + bytes([ticket[-1] ^ 1])
    for bad in (None, b"", b"\x01" * TICKET_BYTES, ticket[:-1], forged):
        assert judge(book, bad) is TicketAction.CHALLENGE
    assert judge(book, ticket) is TicketAction.RUN


@pytest.mark.parametrize("other", [("b", 1), ("a", 2)])
def test_ticket_of_another_agent_or_incarnation_is_unknown(other):
    assert (
        judge(make_book(), make_book(*other).issue(FLOW, 0.0)) is TicketAction.UNKNOWN
    )


def test_used_ticket_from_another_flow_is_unknown():
    book = make_book()
    ticket = book.issue(FLOW, 0.0)
    run(book, ticket)
    assert judge(book, ticket, OTHER_FLOW) is TicketAction.UNKNOWN


def test_unused_ticket_from_another_flow_is_void():
    book = make_book()
    ticket = book.issue(FLOW, 0.0)
    assert judge(book, ticket, OTHER_FLOW) is TicketAction.CHALLENGE
    assert judge(book, ticket) is TicketAction.CHALLENGE


def test_forgotten_outcome_is_unknown_and_unused_ticket_is_not():
    book = make_book(lifetime=60.0)
    used, unused = book.issue(FLOW, 0.0), book.issue(FLOW, 0.0)
    run(book, used)
    assert judge(book, used, now=3600.0) is TicketAction.UNKNOWN
    assert judge(book, unused, now=3600.0) is TicketAction.RUN
    book.forget_flow(FLOW)
    assert judge(book, unused, now=3600.0) is TicketAction.CHALLENGE
    assert len(book) == 0


def test_full_memory_refuses_to_mint():
    book = make_book(max_outcomes=2, lifetime=60.0)
    dropped = book.issue(FLOW, 0.0)
    tickets = [book.issue(FLOW, 0.0), book.issue(FLOW, 0.0)]
    assert judge(book, dropped) is TicketAction.CHALLENGE
    for ticket in tickets:
        run(book, ticket)
    assert book.issue(FLOW, 59.0) is None
    assert [judge(book, t, now=59.0) for t in tickets] == [TicketAction.REPLAY] * 2
    assert book.issue(FLOW, 61.0) is not None


def test_unused_tickets_of_a_flow_are_bounded():
    book = make_book()
    tickets = [book.issue(FLOW, 0.0) for _ in range(3 * MAX_UNUSED_PER_FLOW)]
    assert len(book) == MAX_UNUSED_PER_FLOW
    assert judge(book, tickets[0]) is TicketAction.CHALLENGE
    assert judge(book, tickets[-1]) is TicketAction.RUN


def test_successor_honours_exported_tickets():
    old, new = make_book("a"), make_book("b")
    used, running, unused = (old.issue(FLOW, 0.0) for _ in range(3))
    run(old, used)
    old.begin(running, b"save", 0.0)
    state = old.export_flow(FLOW, 1.0)
    assert new.import_flow(FLOW, state, 1.0)
    for ticket in (used, running, unused):
        for flow in (FLOW, OTHER_FLOW):
            assert judge(old, ticket, flow, now=1.0) is TicketAction.UNKNOWN
    assert judge(new, used, now=1.0) is TicketAction.REPLAY
    assert judge(new, running, now=1.0) is TicketAction.UNKNOWN
    run(new, unused, now=1.0)
    assert not new.import_flow(FLOW, state, 9999.0)
    assert judge(new, unused, now=9999.0) is TicketAction.UNKNOWN


def test_flow_comes_home():
    old, new = make_book("a"), make_book("b")
    unused = old.issue(FLOW, 0.0)
    first = old.export_flow(FLOW, 0.0)
    new.import_flow(FLOW, first, 0.0)
    assert old.import_flow(FLOW, new.export_flow(FLOW, 0.0), 0.0)
    assert not new.import_flow(FLOW, first, 0.0)
    assert judge(new, unused) is TicketAction.UNKNOWN
    run(old, unused)


def test_broken_state_is_refused():
    with pytest.raises(TicketError):
        make_book().import_flow(FLOW, b"\xc1", 0.0)
