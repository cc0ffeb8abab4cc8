from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lycheeglade.address import Address, Zone
from lycheeglade.gossip import PUSH_FANOUT
from lycheeglade.settings import Settings
from lycheeglade.view import Host, Role, View
from lycheeglade.watch import (
    MAX_RESPONSIVE,
    RESPONSIVE_S,
    RETRIES_PER_S,
    VIEW_FRESH_S,
    WATCHER_DOUBLING_S,
    WATCHERS,
    Peers,
    Rank,
    ReadBudget,
    ResponsivePeers,
    choose_peers,
    choose_responsive_peers,
    is_view_fresh,
    is_watcher,
    list_peers,
    rank_watcher,
    retry_delay,
)


def make_hosts(zones: int, per_zone: int) -> dict[str, Host]:
    hosts = {}
    for number in range(zones * per_zone):
        name = f"host-{number}"
        ip = f"127.0.{number // 250}.{number % 250 + 1}"
        zone = Zone("fiji", f"z{number % zones}")
        role = Role.BALANCER if number // zones % 4 == 0 else Role.AGENT
        hosts[name] = Host(name, role, zone, Address(ip, 1), Address(ip, 2))
    return hosts


@given(st.integers(1, 30), st.integers(1, 20))
def test_each_zone_has_watchers_and_all_together_are_few(zones, per_zone):
    hosts = make_hosts(zones, per_zone)
    ranks = [rank_watcher(h.host_id, h.zone, hosts) for h in hosts.values()]
    watching = [
        h for h, r in zip(hosts.values(), ranks, strict=True) if is_watcher(r, 0)
    ]
    assert {host.zone for host in watching} == {host.zone for host in hosts.values()}
    assert len(watching) <= max(WATCHERS, 2 * zones)
    confirmation_age = WATCHER_DOUBLING_S * 20
    assert all(is_watcher(rank, confirmation_age) for rank in ranks)


@given(st.integers(1, 40_000), st.integers(0, 100), st.integers(0, 2**32))
def test_retries_stay_within_their_share(hosts, failures, seed):
    rank = Rank(position=10_000, zones=25, hosts=hosts)
    random = Random(seed)
    delays = [retry_delay(failures, rank, random) for _ in range(300)]
    assert hosts / (sum(delays) / len(delays)) < 1.2 * RETRIES_PER_S
    usual = [retry_delay(failures, Rank(0, 25, hosts), random) for _ in range(50)]
    assert 0.0 < min(usual) <= max(usual) <= 3.0


@given(st.lists(st.floats(0.0, 5.0), max_size=300))
def test_reads_never_exceed_the_budget(gaps):
    budget, now, reads = ReadBudget(rate=2.0, burst=4.0), 0.0, []
    for gap in gaps:
        now += gap
        reads.append(now + budget.reserve(now))
    for index, at in enumerate(reads):
        within = sum(at <= later < at + 10.0 for later in reads[index:])
        assert within <= 4 + 2 * 10 + 1


def test_peers_are_the_own_zone_and_all_balancers():
    hosts = make_hosts(4, 8)
    own = hosts["host-1"]
    seed = Address("127.9.9.9", 2)
    addresses = (own.packets, own.control, own.control)
    settings = Settings(own.role, own.host_id, own.zone, *addresses, "", (seed,))
    peers = list_peers(settings, View(hosts_by_id=hosts))
    zone_peers = {host.control for host in hosts.values() if host.zone == own.zone}
    zone_peers -= {own.control}
    balancers = {host.control for host in hosts.values() if host.role is Role.BALANCER}
    assert set(peers.near) == zone_peers
    assert set(peers.far) == (balancers | {seed}) - zone_peers - {own.control}
    chosen = choose_peers(peers, 4, Random(1))
    assert len(set(chosen) & zone_peers) == 2
    assert len(set(chosen)) == 4


def test_news_go_first_to_peers_that_were_heard_lately():
    addresses = [Address("127.9.0.1", port) for port in range(1, 21)]
    peers = Peers(tuple(addresses[:10]), tuple(addresses[10:]))
    responsive = ResponsivePeers()
    for number in (0, 3, 12, 15):
        responsive.record_answer(addresses[number], 10.0)
    responsive.record_answer(addresses[7], 10.0 - RESPONSIVE_S)
    responsive.discard(addresses[3])
    recent = responsive.list_recent(10.0)
    assert recent == {addresses[0], addresses[12], addresses[15]}
    for count in (1, 2, 6, 20):
        chosen = choose_responsive_peers(peers, recent, count, Random(count))
        assert len(set(chosen)) == len(chosen) == count
        assert len(recent.intersection(chosen)) == min(count, len(recent))


def test_news_go_to_the_own_zone_and_to_another():
    hosts = make_hosts(4, 30)
    own = hosts["host-1"]
    addresses = (own.packets, own.control, own.control)
    settings = Settings(own.role, own.host_id, own.zone, *addresses, "")
    peers = list_peers(settings, View(hosts_by_id=hosts))
    responsive = {*peers.near, *peers.far}
    for seed in range(20):
        chosen = choose_responsive_peers(peers, responsive, PUSH_FANOUT, Random(seed))
        near = len(set(chosen) & set(peers.near))
        assert PUSH_FANOUT > near > PUSH_FANOUT / 2


def test_peers_that_were_heard_are_bounded():
    responsive = ResponsivePeers()
    for port in range(MAX_RESPONSIVE + 5):
        responsive.record_answer(Address("127.9.0.1", port), 1.0)
    assert len(responsive.list_recent(1.0)) == MAX_RESPONSIVE
    assert Address("127.9.0.1", 4) not in responsive.list_recent(1.0)


def test_view_is_not_fresh_after_a_pause():
    assert is_view_fresh(100.0, 100.0 + VIEW_FRESH_S / 2)
    assert not is_view_fresh(100.0, 100.0 + VIEW_FRESH_S)
    assert not is_view_fresh(float("-inf"), 0.0)
