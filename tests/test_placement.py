from random import Random

from lycheeglade.admission import Load
from lycheeglade.placement import (
    ACCEPT,
    MAX_DELEGATIONS,
    QUEUE_HERE,
    RUN_HERE,
    DelegateTo,
    ForwardTo,
    PeerLoads,
    accept_delegated,
    place_flow,
    place_request,
)

IDLE = Load(running=0, limit=1, queued=0, service_time=0.1, wait_estimate=0.0)
HALF_BUSY = Load(0, 1, 0, 0.1, 0.0, busy=0.5)
FULL = Load(1, 1, 0, 0.1, 0.1, busy=0.5)


def place(load, peers=("b",), delegations=0, loads=None):
    loads = loads or PeerLoads()
    return place_request(load, peers, loads, delegations, 0.0, Random(1))


def make_peer_loads(**busy_by_id):
    loads = PeerLoads()
    for target_id, busy in busy_by_id.items():
        loads.record(target_id, busy, 0.0)
    return loads


def test_request_runs_at_home_unless_home_is_full_or_busier_than_the_mean():
    assert place(HALF_BUSY, loads=make_peer_loads(b=0.6)) is RUN_HERE
    assert place(HALF_BUSY, loads=make_peer_loads(b=0.2)) == DelegateTo("b")
    assert place(FULL) == DelegateTo("b")


def test_request_stays_after_enough_peers_gave_it_back():
    assert place(FULL, delegations=MAX_DELEGATIONS) is QUEUE_HERE
    assert place(HALF_BUSY, (), loads=make_peer_loads(b=0.2)) is RUN_HERE


def test_peer_takes_a_request_only_into_a_free_slot():
    assert accept_delegated(IDLE, home_busy=0.1, home_is_full=False)
    assert not accept_delegated(HALF_BUSY, home_busy=0.5, home_is_full=False)
    assert accept_delegated(HALF_BUSY, home_busy=0.5, home_is_full=True)
    assert not accept_delegated(FULL, home_busy=1.0, home_is_full=True)


def test_flow_goes_once_to_the_least_busy_candidate():
    loads = make_peer_loads(b=0.4, c=0.1, d=0.3)
    assert place_flow(HALF_BUSY, 0, "abcd", loads, 0.0) == ForwardTo(2)
    assert place_flow(HALF_BUSY, 2, "abcd", loads, 0.0) is ACCEPT
    assert place_flow(HALF_BUSY, 0, "abcd", PeerLoads(), 0.0) is ACCEPT
    assert place_flow(HALF_BUSY, 0, "abcd", loads, 60.0) is ACCEPT


def test_flow_passes_a_candidate_that_cannot_take_it():
    at_flow_limit = Load(0, 1, 0, 0.1, 0.0, flows=2000, connections=2000)
    assert place_flow(at_flow_limit, 1, "abcd", PeerLoads(), 0.0) == ForwardTo(2)
    assert place_flow(at_flow_limit, 3, "abcd", PeerLoads(), 0.0) is ACCEPT
