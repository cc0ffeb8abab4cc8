from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheeglade.address import Address, Zone
from lycheeglade.flow import FlowKey, hash_flow
from lycheeglade.routing import (
    BUCKETS_PER_SERVICE,
    MAX_CANDIDATES,
    CandidateCache,
    Exclusion,
    bucket_of,
    explain_targets,
    rank_targets,
)
from lycheeglade.view import Protocol, Service, State, Target

ZONES = (Zone("viti-west", "nadi-a"), Zone("viti-west", "nadi-b"), Zone("wa", "a"))


def make_target(target_id, zone=ZONES[0], weight=1.0, state=State.LIVE):
    address = Address("127.2.0.1", 7100)
    return Target(target_id, target_id, zone, address, address, weight, state=state)


def make_service(*targets, revision=1):
    return Service(
        "booth-sync",
        "reelbure",
        revision,
        Protocol.COAP,
        (Address("127.10.0.1", 5683),),
        ("viti-west",),
        {target.target_id: target for target in targets},
    )


SEVEN_TARGET_SERVICE = make_service(*(make_target(f"t{number}") for number in range(7)))
RELEASED_RANKING = (31805, ["t0", "t3", "t2", "t5", "t6", "t1", "t4"])
FLOW_HASHES = st.integers(0, 2**64 - 1)
TARGETS = st.lists(
    st.builds(
        make_target,
        st.sampled_from("abcdefgh"),
        st.sampled_from(ZONES),
        st.floats(0.1, 10),
        st.sampled_from(State),
    ),
    max_size=8,
)


@settings(derandomize=True)
@given(TARGETS, FLOW_HASHES, st.frozensets(st.sampled_from("abcdefgh")))
def test_ranks_live_permitted_targets_and_explains_the_others(
    targets, flow_hash, suspects
):
    service = make_service(*targets)
    ranked = rank_targets(service, flow_hash, suspects=suspects)
    for target in ranked:
        assert target.state is State.LIVE
        assert service.permits(target.zone)
    flags = [target.target_id in suspects for target in ranked]
    assert flags == sorted(flags)
    excluded = explain_targets(service, flow_hash, suspects=suspects)
    ids = [target.target_id for target in ranked]
    ids += [entry.target.target_id for entry in excluded]
    assert sorted(ids) == sorted(service.targets_by_id)
    if len(ranked) < MAX_CANDIDATES:
        assert Exclusion.OUTRANKED not in {entry.exclusion for entry in excluded}


@settings(derandomize=True)
@given(st.integers(0, 6), FLOW_HASHES)
def test_removal_of_a_target_keeps_the_order_of_the_others(number, flow_hash):
    before = rank_targets(SEVEN_TARGET_SERVICE, flow_hash, limit=7)
    rest = [target for target in before if target.target_id != f"t{number}"]
    leaving = replace(
        SEVEN_TARGET_SERVICE.targets_by_id[f"t{number}"], state=State.LEAVING
    )
    drained = replace(
        SEVEN_TARGET_SERVICE,
        targets_by_id={
            **SEVEN_TARGET_SERVICE.targets_by_id,
            leaving.target_id: leaving,
        },
    )
    removed = make_service(*reversed(rest))
    assert list(rank_targets(drained, flow_hash, limit=7)) == rest
    assert list(rank_targets(removed, flow_hash, limit=7)) == rest


@settings(derandomize=True)
@given(FLOW_HASHES, st.floats(1, 5))
def test_a_greater_weight_moves_flows_only_to_its_target(flow_hash, weight):
    heavier = replace(SEVEN_TARGET_SERVICE.targets_by_id["t3"], weight=weight)
    service = replace(
        SEVEN_TARGET_SERVICE,
        targets_by_id={**SEVEN_TARGET_SERVICE.targets_by_id, "t3": heavier},
    )
    before = rank_targets(SEVEN_TARGET_SERVICE, flow_hash)[0]
    after = rank_targets(service, flow_hash)[0]
    assert after in (before, heavier)


def test_first_candidates_follow_the_weights():
    weights = (1.0, 1.0, 2.0, 3.0, 5.0)
    service = make_service(
        *(make_target(f"t{n}", weight=w) for n, w in enumerate(weights))
    )
    counts = dict.fromkeys(service.targets_by_id, 0)
    for bucket in range(BUCKETS_PER_SERVICE):
        counts[rank_targets(service, bucket, limit=1)[0].target_id] += 1
    for target_id, target in service.targets_by_id.items():
        share = counts[target_id] / BUCKETS_PER_SERVICE
        assert share == pytest.approx(target.weight / sum(weights), rel=0.06)


def test_the_first_target_stays_a_candidate_while_suspected():
    flow_hash = hash_flow(FlowKey("booth-sync", "127.0.0.9", 4000))
    ranked = rank_targets(SEVEN_TARGET_SERVICE, flow_hash, limit=7)
    suspects = frozenset(target.target_id for target in ranked[:4])
    expected = (*ranked[4:], ranked[0])
    assert rank_targets(SEVEN_TARGET_SERVICE, flow_hash, suspects=suspects) == expected


def test_ranking_is_the_same_in_every_release():
    # Balancers of two releases run together during an upgrade.
    flow_hash = hash_flow(FlowKey("booth-sync", "127.0.0.9", 4000))
    ids = [
        target.target_id
        for target in rank_targets(SEVEN_TARGET_SERVICE, flow_hash, limit=7)
    ]
    assert (bucket_of(flow_hash), ids) == RELEASED_RANKING


@settings(derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 40),
            st.integers(1, 3),
            st.frozensets(st.sampled_from(["t1", "t2", "other"])),
        ),
        max_size=80,
    ),
    st.integers(1, 12),
)
def test_cache_agrees_with_the_function_and_stays_bounded(lookups, max_entries):
    cache = CandidateCache(max_entries)
    for bucket, revision, suspects in lookups:
        weights = {"t1": float(revision)}
        service = make_service(
            *(
                replace(target, weight=weights.get(target_id, 1.0))
                for target_id, target in SEVEN_TARGET_SERVICE.targets_by_id.items()
            ),
            revision=revision,
        )
        flow_hash = bucket + BUCKETS_PER_SERVICE * revision
        expected = rank_targets(service, flow_hash, suspects=suspects)
        assert cache.rank(service, flow_hash, suspects) == expected
        assert len(cache) <= max(2, max_entries)
