"""Searches that a balancer relays through one agent with one packet."""

from dataclasses import replace

from lycheeglade.address import Address
from lycheeglade.connection_agent import (
    receive_from_target,
    receive_message,
    tick,
)
from lycheeglade.connection_balancer import (
    receive_message as receive_at_balancer,
)
from lycheeglade.connection_balancer import receive_segment
from lycheeglade.connection_limits import MAX_RELAYED_QUERIES
from lycheeglade.connection_search import MAX_DIRECT_QUERIES
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ConnectionNotHeldBy,
    ForwardSegment,
    HomeFound,
    encode_message,
)
from lycheeglade.search_relay import ANSWER_TIMEOUT_S
from lycheeglade.segment import ConnectionKey
from tests.connections import (
    BALANCER,
    CALLER,
    SERVICE,
    AgentRecorder,
    BalancerRecorder,
    data,
    from_target,
    make_report,
    make_target,
    make_view,
)
from tests.test_connection_agent import returned

KEY = ConnectionKey(CALLER, SERVICE)
OTHERS = tuple(make_target(number).agent for number in range(2, 6))
SOURCE = Address("10.1.1.99", 7720)
MTU_BYTES = 1500


def ask(recorder, **fields):
    return recorder.make_forward_segment(data(), search=True, service="", **fields)


def denials(recorder):
    return [(to, m) for to, m in recorder.sent if isinstance(m, ConnectionNotHeldBy)]


def test_agent_asks_the_others_and_answers_for_them():
    recorder = AgentRecorder()
    agent = recorder.make()
    receive_message(agent, ask(recorder, candidates=OTHERS), BALANCER, 0.0)
    asked = [pair for pair in recorder.sent if isinstance(pair[1], ForwardSegment)]
    assert [to for to, _ in asked] == list(OTHERS)
    assert all(forwarded.search and forwarded.is_relayed for _, forwarded in asked)
    assert not any(forwarded.candidates for _, forwarded in asked)
    assert len(recorder.delivered) == 1
    for other in OTHERS:
        assert denials(recorder) == []
        receive_message(agent, ConnectionNotHeld(KEY, 5), other, 0.01)
    assert denials(recorder) == [(BALANCER, ConnectionNotHeldBy(KEY, OTHERS))]
    receive_from_target(agent, returned(recorder), 0.02)
    assert recorder.sent[-1] == (BALANCER, ConnectionNotHeld(KEY, 1001))


def test_agent_tells_what_it_knows_of_a_search_that_lasts():
    recorder = AgentRecorder()
    agent = recorder.make()
    receive_message(agent, ask(recorder, candidates=OTHERS), BALANCER, 0.0)
    receive_message(agent, ConnectionNotHeld(KEY, 5), OTHERS[0], 0.01)
    receive_message(agent, ConnectionNotHeld(KEY, 5), SOURCE, 0.01)
    tick(agent, ANSWER_TIMEOUT_S + 0.01)
    assert denials(recorder) == [(BALANCER, ConnectionNotHeldBy(KEY, OTHERS[:1]))]
    tick(agent, 2 * ANSWER_TIMEOUT_S)
    assert len(denials(recorder)) == 1


def test_agent_that_was_asked_by_another_answers_that_one():
    recorder = AgentRecorder()
    agent = recorder.make()
    receive_message(agent, ask(recorder, is_relayed=True), SOURCE, 0.0)
    receive_from_target(agent, returned(recorder), 0.01)
    assert recorder.sent == [(SOURCE, ConnectionNotHeld(KEY, 1001))]


def test_home_that_was_asked_by_another_tells_the_balancer():
    recorder = AgentRecorder()
    agent = recorder.make()
    receive_message(agent, ask(recorder, is_relayed=True), SOURCE, 0.0)
    answer = from_target(acknowledges=True, sequence=1001, data_bytes=9)
    receive_from_target(agent, answer, 0.01)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, -1))]


def make_balancer(count):
    recorder = BalancerRecorder()
    targets = [make_target(number) for number in range(1, count + 1)]
    balancer = recorder.make(make_view(targets))
    for target in targets:
        receive_at_balancer(balancer, make_report(), target.agent, 0.0)
    recorder.sent.clear()
    return balancer, recorder, [target.agent for target in targets]


def test_balancer_of_many_targets_asks_a_few_agents():
    count = 2 * MAX_RELAYED_QUERIES
    balancer, recorder, agents = make_balancer(count)
    receive_segment(balancer, data(), 0.1)
    forwarded_segments = recorder.pop_forwarded_segments()
    assert len(forwarded_segments) == count / MAX_RELAYED_QUERIES
    asked = {agent for agent, _ in forwarded_segments}
    named = [
        agent for _, forwarded in forwarded_segments for agent in forwarded.candidates
    ]
    assert sorted([*asked, *named]) == sorted(agents)
    assert all(
        len(encode_message(forwarded)) < MTU_BYTES
        for _, forwarded in forwarded_segments
    )


def test_balancer_of_few_targets_asks_them_itself():
    balancer, recorder, agents = make_balancer(MAX_DIRECT_QUERIES)
    receive_segment(balancer, data(), 0.1)
    assert sorted(agent for agent, _ in recorder.pop_forwarded_segments()) == sorted(
        agents
    )


def test_connection_that_all_deny_by_relay_is_reset():
    balancer, recorder, _ = make_balancer(MAX_DIRECT_QUERIES + 1)
    receive_segment(balancer, data(acknowledgement=77), 0.6)
    ((asker, forwarded),) = recorder.pop_forwarded_segments()
    receive_at_balancer(
        balancer, ConnectionNotHeldBy(KEY, forwarded.candidates), asker, 0.61
    )
    assert recorder.resets == []
    receive_at_balancer(balancer, ConnectionNotHeld(KEY, 77), asker, 0.62)
    assert recorder.resets == [(KEY, 77)]


def test_agents_that_did_not_answer_are_asked_through_another():
    balancer, recorder, agents = make_balancer(MAX_DIRECT_QUERIES + 2)
    receive_segment(balancer, data(), 0.1)
    ((asker, forwarded),) = recorder.pop_forwarded_segments()
    receive_at_balancer(
        balancer, ConnectionNotHeldBy(KEY, forwarded.candidates[:3]), asker, 0.2
    )
    receive_segment(balancer, data(), 0.4)
    asked = [agent for agent, _ in recorder.pop_forwarded_segments()]
    assert sorted(asked) == sorted({*agents} - {*forwarded.candidates[:3]})


def test_earlier_builds_get_and_pass_on_no_segment_of_another_service():
    """Their agents deliver each query, and drop the services it names."""
    recorder = BalancerRecorder()
    targets = [make_target(number) for number in range(1, 12)]
    depots = [make_target(number) for number in (20, 21)]
    view = make_view(targets)
    services = {
        **view.targets_by_service,
        "reel-depot": {depot.target_id: depot for depot in depots},
    }
    balancer = recorder.make(replace(view, targets_by_service=services))
    old = [*targets[:10], depots[0]]
    for target in [*targets, *depots]:
        age = -1.0 if target in old else 100.0
        receive_at_balancer(balancer, make_report(age=age), target.agent, 0.5)
    recorder.sent.clear()
    receive_segment(balancer, data(), 1.0)
    ((relay, query),) = recorder.pop_forwarded_segments()
    assert relay in (targets[10].agent, depots[1].agent)
    asked = {relay, *query.candidates}
    assert asked == {target.agent for target in [*targets, depots[1]]}
