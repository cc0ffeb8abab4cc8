from pathlib import Path

import pytest

from lycheeglade import agent as agent_core
from lycheeglade import exchange, spread, takeover
from lycheeglade.cmdline import main
from lycheeglade.outcome import replay_trace
from lycheeglade.ticket import TicketAction, TicketDecision, TicketRegistry
from lycheeglade.trace import load_trace, parse_trace

TRACES = Path(__file__).parent / "traces"
EVENING = TRACES / "reelbure-evening.trace"
DAY = TRACES / "wayfarer-day.trace"


@pytest.mark.parametrize("path", [EVENING, DAY], ids=lambda path: path.stem)
def test_every_stated_outcome_holds(path):
    outcomes = replay_trace(load_trace(path))
    assert len(outcomes) >= 12
    assert [outcome for outcome in outcomes if not outcome.is_held] == []


def lose_feed_state(monkeypatch):
    def import_feed(feed, state, now):
        feed.is_suspended = False

    monkeypatch.setattr(takeover, "_import_feed", import_feed)


def serve_any_packet(monkeypatch):
    def find_served(agent, packet):
        return next(reversed(agent.served_by_key.values()), None)

    monkeypatch.setattr(agent_core, "_find_served", find_served)


def answer_in_order(monkeypatch):
    receive = exchange.receive_response

    def receive_response(agent, served, message, now):
        waiting = served.requests_by_upstream_token
        if message.token in waiting:
            first = next(iter(waiting))
            waiting[first], waiting[message.token] = (
                waiting[message.token],
                waiting[first],
            )
        return receive(agent, served, message, now)

    monkeypatch.setattr("lycheeglade.session.receive_response", receive_response)


def refuse_late_requests(monkeypatch):
    def expire(agent, served, token, request, now):
        if served.requests_by_upstream_token.pop(token, None) is not None:
            served.admission.finish(request.request_id, now, failed=True)
            record = served.records_by_flow[request.flow]
            exchange.forget_request(served, request)
            exchange.refuse(
                agent, served, record, request.pending_replies, "late", 1.0, now
            )

    monkeypatch.setattr(exchange, "_expire_running", expire)


def run_every_copy(monkeypatch):
    decide = TicketRegistry.decide

    def decide_as_new(registry, ticket, flow, digest, now):
        decision = decide(registry, ticket, flow, digest, now)
        if decision.action is TicketAction.CHALLENGE:
            return decision
        return TicketDecision(TicketAction.RUN)

    monkeypatch.setattr(TicketRegistry, "decide", decide_as_new)
    monkeypatch.setattr(
        TicketRegistry, "begin", lambda registry, ticket, digest, now: None
    )


def ignore_leaving(monkeypatch):
    monkeypatch.setattr(agent_core, "start_drain", lambda agent, served, now: None)


def stop_at_once(monkeypatch):
    monkeypatch.setattr(agent_core, "count_pending_work", lambda agent: 0)


def take_older_values(monkeypatch):
    monkeypatch.setattr(spread, "_is_newer", lambda snapshot, known, value: True)


@pytest.mark.parametrize(
    ("break_decision", "path", "outcome"),
    [
        (lose_feed_state, EVENING, "feed-breaks"),
        (serve_any_packet, EVENING, "misdeliveries"),
        (answer_in_order, DAY, "unfinished"),
        (refuse_late_requests, EVENING, "false-refusals"),
        (run_every_copy, EVENING, "double-runs"),
        (ignore_leaving, EVENING, "leaving-work-seconds"),
        (stop_at_once, EVENING, "feed-breaks"),
        (take_older_values, EVENING, "reverted-values"),
    ],
    ids=lambda value: getattr(value, "__name__", getattr(value, "stem", value)),
)
def test_broken_decision_is_caught(monkeypatch, break_decision, path, outcome):
    break_decision(monkeypatch)
    broken = {o.name for o in replay_trace(load_trace(path)) if not o.is_held}
    assert outcome in broken


def test_command_tells_the_line_at_fault_and_exits_with_1(capsys, tmp_path):
    path = tmp_path / "short.trace"
    path.write_text(
        '{"at": 0, "kind": "feed", "service": "s", "caller": "127.9.0.1:4000"}\n'
        '{"at": 60, "kind": "expect", "outcome": "feed-breaks"}\n'
    )
    assert main(["replay", str(path)]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == f"{path}:2: feed-breaks BROKEN (2, limit 0)"
    assert lines[1].startswith("    line 1: s<127.9.0.1:400")


def test_unknown_outcome_is_an_error():
    trace = parse_trace('{"at": 1, "kind": "expect", "outcome": "luck"}', "t.trace")
    with pytest.raises(ExceptionGroup) as caught:
        replay_trace(trace)
    assert "t.trace:1: outcome: 'luck' is not one of" in str(caught.value.exceptions[0])
