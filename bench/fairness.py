"""Compares the fairness of Lycheeglade with baselines, in virtual time.

Usage: python -m bench.fairness [SEEDS [SECONDS [LOAD]]]

If LOAD is given, as a share of the capacity, only booth-sync and phrasebook
with weights proportional to the speed of the hosts are compared.
"""

from collections import defaultdict
from dataclasses import replace
from functools import partial
from multiprocessing import Pool
from os import environ
from random import Random
from sys import argv

import numpy as np

from bench.fairness_model import (
    SPEEDS,
    Callers,
    Clock,
    FixedLimit,
    Upstream,
    Workload,
    make_service,
)
from bench.fairness_policies import (
    FlowsOnly,
    LeastOutstanding,
    LeastReported,
    Product,
    Rendezvous,
    RepeatableOnly,
    RequestsOnly,
    RoundRobin,
)
from lycheeglade.concurrency import SharingLimit, SlowdownLimit

LOAD = 0.7
WARM_UP_S = 60.0
WEAK_UPSTREAMS = 2
WORKERS = int(environ.get("BENCH_WORKERS", "5"))
BOOTH_SYNC = Workload("booth-sync", 1, 0.25, 700, 3600.0, 0.5, 2.0)
PHRASEBOOK = Workload("phrasebook", 3, 0.5, 1000, 600.0, 1.0, 2.0)
POLICIES = (
    RoundRobin,
    Rendezvous,
    LeastOutstanding,
    LeastReported,
    FlowsOnly,
    RequestsOnly,
    Product,
    RepeatableOnly,
)


def run(policy_type, workload, weights, seconds, make_limit, seed, load=LOAD):
    """Return the fairness, outcome and latency figures of one run."""
    clock = Clock()
    upstreams = [
        Upstream(
            clock,
            workload,
            speed,
            index >= len(SPEEDS) - WEAK_UPSTREAMS,
            Random(seed + index),
            make_limit,
        )
        for index, speed in enumerate(SPEEDS)
    ]
    service = make_service(workload, weights)
    policy = policy_type(clock, service, upstreams, Random(seed))
    Callers(clock, workload, load, Random(seed), policy.open_flow, policy.send)
    clock.run(WARM_UP_S)
    before = [upstream.busy_time for upstream in upstreams]
    start = snapshot(policy)
    policy.latencies.clear()
    clock.run(WARM_UP_S + seconds)
    busy = np.array([u.busy_time for u in upstreams]) - before
    busy /= seconds * workload.slots
    counts = {name: value - start[name] for name, value in snapshot(policy).items()}
    total = max(1, counts["answered"] + counts["refused"])
    return {
        "max/mean": busy.max() / busy.mean(),
        "p99/mean": np.percentile(busy, 99) / busy.mean(),
        "busy": busy.mean(),
        "late %": 100 * counts["late"] / total,
        "refused %": 100 * counts["refused"] / total,
        "free %": 100 * counts["refused_with_free_slot"] / total,
        "p50 ms": 1000 * np.percentile(policy.latencies, 50),
        "p99 ms": 1000 * np.percentile(policy.latencies, 99),
        "deleg.": counts["delegations"] / total,
    }


def snapshot(policy):
    """Return the counters of a policy."""
    names = ("answered", "late", "refused", "refused_with_free_slot", "delegations")
    return {name: getattr(policy, name) for name in names}


def compare(
    pool,
    title,
    workload,
    weights,
    seeds,
    seconds,
    policies=POLICIES,
    make_limit=SharingLimit,
    load=LOAD,
):
    """Print the figures of each policy, averaged over all seeds."""
    print(f"\n{title}")
    for position, policy_type in enumerate(policies):
        values = defaultdict(list)
        runs = partial(
            run, policy_type, workload, weights, seconds, make_limit, load=load
        )
        for result in pool.map(runs, seeds):
            for name, value in result.items():
                values[name].append(value)
        if position == 0:
            print(f"{'':17}" + "".join(f"{name:>10}" for name in values))
        cells = "".join(f"{np.mean(value):10.3f}" for value in values.values())
        print(f"{policy_type.__name__:17}{cells}", flush=True)


def compare_limits(pool, seeds, seconds):
    """Compare concurrency limits if two upstreams slow down under load."""
    workload = replace(PHRASEBOOK, name="phrasebook-weak", weak_interference=1.3)
    policies = (Rendezvous, Product)
    for make_limit in (FixedLimit, SlowdownLimit, SharingLimit):
        title = f"{workload.name}, {make_limit.__name__}, weights by speed"
        compare(pool, title, workload, SPEEDS, seeds, seconds, policies, make_limit)


def compare_at_load(pool, load, seeds, seconds):
    """Compare all policies at one load."""
    for workload in (BOOTH_SYNC, PHRASEBOOK):
        title = (
            f"{workload.name}, {workload.slots} slots, weights by speed, "
            f"load {load:.0%}"
        )
        compare(pool, title, workload, SPEEDS, seeds, seconds, load=load)


def main(seeds=3, seconds=300.0, load=None):
    """Print all comparisons."""
    seeds = range(1, int(seeds) + 1)
    seconds = float(seconds)
    equal = (1.0,) * len(SPEEDS)
    with Pool(WORKERS) as pool:
        if load is not None:
            compare_at_load(pool, float(load), seeds, seconds)
            return
        for workload in (BOOTH_SYNC, PHRASEBOOK):
            for name, weights in (("by speed", SPEEDS), ("equal", equal)):
                title = f"{workload.name}, {workload.slots} slots, weights {name}"
                compare(pool, title, workload, weights, seeds, seconds)
        compare_limits(pool, seeds, seconds)


if __name__ == "__main__":
    main(*argv[1:])
