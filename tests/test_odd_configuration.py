"""An odd option in a published service costs no other service and no change.

The product's own balancers and agents read services and hosts as INI texts,
from the platform and from each other.
"""

from re import MULTILINE
from re import compile as compile_pattern

import pytest

from lycheeglade.knowledge import Knowledge
from lycheeglade.value import Value
from tests.odd_entries import NUMBERS, PORTS, nest
from tests.test_knowledge import ask

SERVICE = """\
[service]
name = {name}
tenant = reelbure
protocol = coap
addresses = 10.0.0.1:5683
places = viti-west
request_timeout_s = 10.0
heartbeat_s = 10.0
flow_idle_s = 300.0
cold_start_s = 10.0
grace_s = 30.0

[target t0]
host = h0
zone = viti-west/nadi-a
agent = 10.0.0.2:7100
upstream = 10.0.0.2:5683
weight = 1.0
slots = 1
connections = 2000
state = live
"""
HOSTS = """\
[host h0]
role = agent
zone = viti-west/nadi-a
packets = 10.0.0.2:7100
control = 10.0.0.2:7200
state = live
"""
ODD_NAME, HOSTS_NAME = "services/odd", "hosts/viti-west/nadi-a"
GOOD_NAMES = ("services/a", "services/p", "services/z")
TREES = {
    f"{form}-{depth}": tree
    for depth in (900, 2_000, 100_000)
    for form, tree in nest(depth).items()
}
NUMBER_OPTIONS = ("weight", "slots", "connections", "request_timeout_s", "grace_s")
ADDRESS_OPTIONS = ("agent", "upstream", "addresses")
HOST_OPTIONS = ("packets", "control")
# Names may be numbers, and these numbers are valid for some options.
VALID = {
    ("weight", "fraction"),
    ("request_timeout_s", "fraction"),
    ("grace_s", "fraction"),
}


def make_text(name):
    return SERVICE.format(name=name.removeprefix("services/"))


def set_option(text, option, value):
    pattern = compile_pattern(rf"^{option} = .*$", MULTILINE)
    assert pattern.search(text)
    return pattern.sub(lambda match: f"{option} = {value}", text, count=1)


def make_odd_values():
    """Yield names, and the name and text of a value with one odd option."""
    text = make_text(ODD_NAME)
    for option in NUMBER_OPTIONS:
        for name, value in (NUMBERS | {"nan": "nan", "text": "many"}).items():
            if (option, name) not in VALID:
                odd = set_option(text, option, value)
                yield f"{option}-{name}", (ODD_NAME, odd)
    for option in (*NUMBER_OPTIONS, *ADDRESS_OPTIONS, "host", "zone", "state"):
        for name, tree in TREES.items():
            yield f"{option}-{name}", (ODD_NAME, set_option(text, option, tree))
    for name, tree in TREES.items():
        yield f"section-{name}", (ODD_NAME, f"{text}[{tree}]\n")
        yield f"unknown-{name}", (ODD_NAME, f"{text}{tree} = 1\n")
        yield f"hosts-{name}", (HOSTS_NAME, set_option(HOSTS, "packets", tree))
    for name, port in PORTS.items():
        for option in ADDRESS_OPTIONS:
            odd = set_option(text, option, f"10.0.0.9:{port}")
            yield f"{option}-port-{name}", (ODD_NAME, odd)
        for option in HOST_OPTIONS:
            odd = set_option(HOSTS, option, f"10.0.0.9:{port}")
            yield f"{option}-port-{name}", (HOSTS_NAME, odd)


ODD_VALUES = dict(make_odd_values())


def make_good(name, revision):
    return Value(name, revision, HOSTS if name == HOSTS_NAME else make_text(name))


def find_contents(knowledge):
    values = knowledge.snapshot.values_by_name
    return {name: value.content for name, value in values.items() if value.content}


@pytest.mark.parametrize("is_known", [False, True])
@pytest.mark.parametrize("place", [0, 1, 3])
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_option_leaves_the_other_services_in_force(odd, place, is_known):
    """The latest valid revision stays, and a later valid one is used."""
    odd_name, odd_text = odd
    knowledge = Knowledge(0.0)
    if is_known:
        assert not knowledge.apply_values([make_good(odd_name, 1)])
    values = [make_good(name, 2) for name in GOOD_NAMES]
    values.insert(place, Value(odd_name, 3, odd_text))
    errors = knowledge.apply_values(values)
    assert errors
    assert all(str(error) for error in errors)
    assert knowledge.apply_index(3, 0, 1.0)
    expected = {*GOOD_NAMES, odd_name} if is_known else {*GOOD_NAMES}
    assert find_contents(knowledge).keys() == expected
    peer = Knowledge(0.0)
    reply, after = ask(peer, knowledge, 1.0)
    peer.apply_reply(reply, after, 1.0)
    assert find_contents(peer).keys() == expected
    changes = [Value("services/a", 4, None), make_good("services/new", 5)]
    for each in (knowledge, peer):
        assert not each.apply_values([*changes, make_good(odd_name, 6)])
        assert each.apply_index(6, 3, 2.0)
        expected = {"services/p", "services/z", "services/new", odd_name}
        assert find_contents(each).keys() == expected
