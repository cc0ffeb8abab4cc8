import pytest

from lycheeglade.address import Address
from lycheeglade.explain import explain_flow, format_explanation
from lycheeglade.view import State, View
from tests.test_routing import ZONES, make_service, make_target

SERVICE = make_service(
    *(make_target(f"t{number}") for number in range(5)),
    make_target("abroad", ZONES[2]),
    make_target("gone", state=State.LEAVING),
)
VIEW = View(1, {SERVICE.name: SERVICE})
EXPECTED = """\
flow booth-sync<127.0.0.9:4000
service booth-sync revision 1, places viti-west, bucket 31805
a balancer in wa/a drops it: the zone is not among the places
1. t3 in viti-west/nadi-a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100
2. t2 in viti-west/nadi-a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100
3. t1 in viti-west/nadi-a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100
4. t0 in viti-west/nadi-a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100, suspected
not abroad in wa/a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100: \
its zone is not among the service's places
not gone in viti-west/nadi-a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100: \
it is leaving
not t4 in viti-west/nadi-a at 127.2.0.1:7100, weight 1, agent 127.2.0.1:7100: \
other targets rank higher for this flow"""


def test_tells_candidates_and_reasons():
    explanation = explain_flow(
        VIEW, "booth-sync", Address("127.0.0.9", 4000), frozenset({"t0"})
    )
    lines = format_explanation(explanation, ZONES[2])
    assert "\n".join(lines) == EXPECTED


def test_unknown_service():
    with pytest.raises(KeyError, match="reel-depot"):
        explain_flow(VIEW, "reel-depot", Address("127.0.0.9", 4000))
