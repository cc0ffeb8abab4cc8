"""Measures the cost of ranking, and the flows that a change moves.

Usage: ``python -m bench.routing``. Weighted rendezvous hashing is compared
with other ways to choose a target.
"""

from collections import Counter
from dataclasses import replace
from random import Random
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from numpy import array, polyfit, polyval
from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address, Zone
from lycheeglade.routing import (
    BUCKETS_PER_SERVICE,
    CandidateCache,
    bucket_of,
)
from lycheeglade.view import Protocol, Service, Target

SIZES = (7, 36, 500)
ENTRIES = (4000, 16000, 64000, 128000)
BUCKETS = range(1000)
LOOKUPS = 200_000
FLOWS = 100_000
STRENGTHS = (1.0, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0)
ZONE = Zone("viti-west", "nadi-a")
ADDRESS = Address("127.2.0.1", 7100)


def make_service(size, name="booth-sync"):
    """Return a service of `size` targets with weights from 1 to 5."""
    weights = [STRENGTHS[number % len(STRENGTHS)] for number in range(size)]
    targets_by_id = {
        f"nadi-a-{number}": Target(
            f"nadi-a-{number}", f"host-{number}", ZONE, ADDRESS, ADDRESS, weight
        )
        for number, weight in enumerate(weights)
    }
    return Service(
        name, "reelbure", 1, Protocol.COAP, (ADDRESS,), ("viti-west",), targets_by_id
    )


def fit(sizes, figures):
    """Return slope, intercept and the largest residual over the mean."""
    sizes, figures = array(sizes, float), array(figures, float)
    slope, intercept = polyfit(sizes, figures, 1)
    residuals = figures - polyval((slope, intercept), sizes)
    return slope, intercept, abs(residuals).max() / figures.mean()


def print_fit(label, sizes, figures, unit):
    """Print the line fitted to the figures."""
    slope, intercept, residual = fit(sizes, figures)
    print(
        f"  {label}: {slope:.4g} {unit} + {intercept:.4g}, "
        f"largest residual {residual:.1%} of the mean"
    )


def time_lookups(service, buckets, cache=None):
    """Return the mean microseconds of a lookup over `buckets`."""
    if cache is None:
        cache = CandidateCache(4 * len(buckets))
    rank = cache.rank
    started_at = perf_counter()
    for bucket in buckets:
        rank(service, bucket)
    return (perf_counter() - started_at) / len(buckets) * 1e6


def measure_ranking():
    """Print the cost of ranking an uncached bucket."""
    print("ranking of an uncached bucket, microseconds")
    costs = []
    for size in SIZES:
        costs.append(min(time_lookups(make_service(size), BUCKETS) for _ in range(5)))
        print(f"  {size:4d} targets {costs[-1]:8.1f}")
    print_fit("fit", SIZES, costs, "us per target")


def measure_lookup(generator):
    """Print the cost of a lookup of a cached bucket."""
    print("lookup of a cached bucket, microseconds")
    lookups = generator.choices(BUCKETS, k=LOOKUPS)
    for size in SIZES:
        service = make_service(size)
        cache = CandidateCache(4 * len(BUCKETS))
        time_lookups(service, BUCKETS, cache)
        cost = min(time_lookups(service, lookups, cache) for _ in range(3))
        print(f"  {size:4d} targets {cost:8.3f}")


def measure_memory():
    """Print the memory of the cache by number of entries, with 8 services."""
    print("memory of the cache, kilobytes")
    sizes = []
    for entries in ENTRIES:
        services = [make_service(7, f"service-{number}") for number in range(8)]
        start()
        cache = CandidateCache(2 * entries)
        for number in range(entries):
            cache.rank(services[number % 8], number // 8)
        sizes.append(get_traced_memory()[0] / 1000)
        stop()
        print(f"  {entries:6d} entries {sizes[-1]:9.0f}")
    print_fit("fit", ENTRIES, sizes, "kB per entry")


def choose_by_rendezvous(service):
    """Return a choice by weighted rendezvous hashing, as balancers use it."""
    cache = CandidateCache(4 * BUCKETS_PER_SERVICE)
    return lambda flow_hash: cache.rank(service, flow_hash)[0].target_id


def choose_by_modulo(service):
    """Return a choice by the hash modulo the number of targets."""
    ids = sorted(service.targets_by_id)
    return lambda flow_hash: ids[flow_hash % len(ids)]


def choose_round_robin(service):
    """Return a round-robin choice by a single balancer, in order of calls."""
    ids = sorted(service.targets_by_id)
    turns = iter(range(FLOWS + 1))
    return lambda flow_hash: ids[next(turns) % len(ids)]


def choose_by_plain_rendezvous(service):
    """Return a choice by rendezvous hashing without weights."""
    ids = [(target_id, target_id.encode()) for target_id in service.targets_by_id]
    firsts_by_bucket = {}

    def choose(flow_hash):
        bucket = bucket_of(flow_hash)
        if bucket not in firsts_by_bucket:
            firsts_by_bucket[bucket] = max(
                (xxh3_64_intdigest(key, bucket), target_id) for target_id, key in ids
            )[1]
        return firsts_by_bucket[bucket]

    return choose


CHOICES = {
    "weighted rendezvous": choose_by_rendezvous,
    "plain rendezvous": choose_by_plain_rendezvous,
    "modulo": choose_by_modulo,
    "round robin": choose_round_robin,
}


def change_service(service, change):
    """Return `service` with one target added, removed or doubled in weight."""
    targets_by_id = dict(service.targets_by_id)
    middle = sorted(targets_by_id)[len(targets_by_id) // 2]
    target = targets_by_id[middle]
    if change == "remove":
        del targets_by_id[middle]
    elif change == "double":
        targets_by_id[middle] = replace(target, weight=2 * target.weight)
    else:
        targets_by_id["nadi-a-new"] = replace(target, target_id="nadi-a-new")
    return replace(service, revision=2, targets_by_id=targets_by_id)


def min_moved_share(service, changed):
    """Return the minimum share of flows that the new weights move."""
    before, after = (
        {key: target.weight for key, target in item.targets_by_id.items()}
        for item in (service, changed)
    )
    return sum(
        max(
            0.0,
            weight / sum(after.values()) - before.get(key, 0.0) / sum(before.values()),
        )
        for key, weight in after.items()
    )


def measure_moved(hashes):
    """Print the share of flows whose first target a change replaces."""
    print("share of flows whose first target changes, one target changed")
    names = "".join(f"{name:>21}" for name in CHOICES)
    print(f"  {'targets change':16}{'least by weight':>16}{names}")
    for size in (7, 500):
        service = make_service(size)
        for change in ("add", "remove", "double"):
            changed = change_service(service, change)
            shares = []
            for choose in CHOICES.values():
                before, after = choose(service), choose(changed)
                moved = sum(before(item) != after(item) for item in hashes)
                shares.append(moved / len(hashes))
            columns = "".join(f"{share:21.2%}" for share in shares)
            min_share = min_moved_share(service, changed)
            print(f"  {size:7d} {change:8}{min_share:16.2%}{columns}")


def measure_spread(hashes):
    """Print the ratio of a target's flows to its share by weight."""
    print(f"flows of a target over its share by weight, {len(hashes)} flows")
    for size in SIZES:
        service = make_service(size)
        total = sum(target.weight for target in service.targets_by_id.values())
        for name, choice in CHOICES.items():
            choose = choice(service)
            counts = Counter(choose(flow_hash) for flow_hash in hashes)
            ratios = sorted(
                counts[key] * total / target.weight / len(hashes)
                for key, target in service.targets_by_id.items()
            )
            p99 = ratios[int(0.99 * (len(ratios) - 1))]
            print(
                f"  {size:4d} targets {name:20} least {ratios[0]:.3f} "
                f"p99 {p99:.3f} greatest {ratios[-1]:.3f}"
            )


def measure_buckets(hashes):
    """Print how the number of buckets affects the balance of flows."""
    print("greatest flows of a target over its share by weight, by buckets per service")
    for size in SIZES:
        service = make_service(size)
        choose = choose_by_rendezvous(service)
        total = sum(target.weight for target in service.targets_by_id.values())
        for buckets in (4096, 16384, BUCKETS_PER_SERVICE):
            counts = Counter(choose(flow_hash % buckets) for flow_hash in hashes)
            greatest = max(
                count * total / service.targets_by_id[key].weight / len(hashes)
                for key, count in counts.items()
            )
            print(f"  {size:4d} targets {buckets:6d} buckets {greatest:8.3f}")


def main():
    """Print all tables."""
    generator = Random(1)
    measure_ranking()
    measure_lookup(generator)
    measure_memory()
    hashes = [generator.getrandbits(64) for _ in range(FLOWS)]
    measure_moved(hashes)
    measure_spread(hashes)
    measure_buckets(hashes)


if __name__ == "__main__":
    main()
