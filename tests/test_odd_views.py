"""Odd numbers in what balancers pass on to each other do no lasting harm.

Balancers take views and messages from others, which may be of another build.
Each number is either refused or used without an error, and a later view takes
effect.
"""

from dataclasses import replace
from math import inf, nan

import pytest
from msgspec import to_builtins
from msgspec.msgpack import encode

from lycheeglade.address import Address
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
    update_routing,
)
from lycheeglade.known_view import KnownView
from lycheeglade.relay_message import encode_message
from lycheeglade.route import FormerService, RemovedTarget
from lycheeglade.view_history import ServedHistory, clear_history, inherit_history
from tests.connections import (
    AGENTS,
    ROUTE,
    SERVICE,
    TARGETS,
    BalancerRecorder,
    data,
    make_report,
    make_target,
    make_view,
    opening,
)
from tests.test_view_transfer import fetch_from

NUMBERS = (0, -1, 2**53 + 1, 2**63, 2**64 - 1, 1e308, inf, -inf, nan, 2.5)
PORTS = (0, -1, 65_535, 65_536, 2**64 - 1, "http", 80.5)
TARGET_FIELDS = ("slots", "lifetime", "weight", "warmup_left", "connections")
ROUTE_FIELDS = ("timeout", "aim", "priority")
OPENINGS = 40


def make_odd_views():
    """Yield names and views, each with one odd number."""
    view = make_view(TARGETS)
    first, *others = TARGETS
    for number in NUMBERS:
        for field in TARGET_FIELDS:
            odd = replace(first, **{field: number})
            yield f"{field}-{number}", make_view([odd, *others])
            removed = RemovedTarget(replace(odd, target_id="t9"), "booth-sync", 1.0)
            odd_view = replace(view, removed_targets=(removed,))
            yield f"removed-{field}-{number}", odd_view
        for field in ROUTE_FIELDS:
            odd_route = replace(ROUTE, **{field: number})
            yield f"{field}-{number}", make_view(TARGETS, [odd_route])
        odd_route = replace(ROUTE, weights_by_service={"booth-sync": number})
        yield f"route-weight-{number}", make_view(TARGETS, [odd_route])
        rates = {"booth-sync": number}
        cold = make_view([replace(first, warmup_left=5.0), *others])
        yield f"rate-{number}", replace(cold, warmup_rates_by_service=rates)
        removed = RemovedTarget(make_target(9), "booth-sync", number)
        yield f"gone-for-{number}", replace(view, removed_targets=(removed,))
        former = FormerService(SERVICE, "x", number)
        yield f"removed-for-{number}", replace(view, former_services=(former,))
        yield f"known-for-{number}", replace(view, routes_known_for=number)
    for port in PORTS:
        for field in ("agent", "upstream"):
            odd = replace(first, **{field: Address("10.1.1.1", port)})
            yield f"{field}-port-{port}", make_view([odd, *others])


ODD_VIEWS = dict(make_odd_views())


@pytest.mark.parametrize("name", ODD_VIEWS)
async def test_odd_view_of_a_peer_is_refused_or_used(name):
    """A target of no slots raised an error with each opening."""
    received = await fetch_from(
        to_builtins(ODD_VIEWS[name], str_keys=False, builtin_types=())
    )
    if received is None:
        return
    recorder, known = BalancerRecorder(), KnownView()
    balancer = recorder.make(make_view(TARGETS, revision=1))
    balancer.actions = replace(
        balancer.actions, send=lambda address, message: encode_message(message)
    )
    known.receive(balancer.view, 0.0)
    assert known.receive(clear_history(received), 1.0)
    update_routing(balancer, known.correct(1.0), 1.0)
    inherit_history(balancer, received, 1.0)
    for agent in AGENTS:
        receive_message(balancer, make_report(), agent, 1.0)
    for number in range(OPENINGS):
        now = 1.1 + number * 0.02
        receive_segment(balancer, opening(40_001 + number), now)
        receive_segment(balancer, data(41_001 + number), now)
        tick(balancer, now)
    assert encode(ServedHistory().get(known.view, balancer, 5.0))
    later = replace(make_view(TARGETS[1:], revision=7), configuration=2)
    assert known.receive(later, 9.0)
    update_routing(balancer, known.correct(9.0), 9.0)
    assert balancer.view == later


@pytest.mark.parametrize("port", [-1, 65_536, 2**64 - 1, "http", 80.5], ids=str)
async def test_view_with_a_port_out_of_range_is_not_fetched(port):
    odd = replace(TARGETS[0], agent=Address("10.1.1.1", port))
    content = to_builtins(make_view([odd]), str_keys=False, builtin_types=())
    assert await fetch_from(content) is None


@pytest.mark.parametrize("slots", [0, -1, 2.5, 1e308, inf])
async def test_view_with_a_target_of_no_slots_is_not_fetched(slots):
    odd = replace(TARGETS[0], slots=slots)
    content = to_builtins(make_view([odd]), str_keys=False, builtin_types=())
    assert await fetch_from(content) is None
