"""Measures control traffic and processor time of an idle deployment."""

from asyncio import sleep

import pytest
from psutil import Process

from demo.cluster import reserve_network_for_process
from demo.deployment import plan_reelbure, plan_wayfarer
from tests.faults import SEED, long_only
from tests.relayed import RelayedCluster

SETTLED_S = 10.0
MEASURED_S = 60.0
MAX_BYTES_PER_S = 17_000
MAX_CPU_SHARE = 0.01
UDP_HEADER_BYTES = 28

pytestmark = long_only


@pytest.fixture(params=[plan_reelbure, plan_wayfarer], ids=["reelbure", "wayfarer"])
async def cluster(tmp_path, request):
    cluster = RelayedCluster(
        request.param(reserve_network_for_process()), tmp_path, SEED
    )
    try:
        await cluster.start()
        await sleep(SETTLED_S)
        yield cluster
    finally:
        cluster.processes.kill_all()


def read_usage(cluster):
    """Return CPU seconds and received stream bytes by host, and relayed bytes.

    The kernel counts the stream bytes that a process reads, but not those that
    it writes; the sum of all received bytes equals the sum of all sent ones.
    The relay counts the datagrams of all processes together.
    """
    usage = {}
    for host_id in cluster.daemon_ips_by_host:
        process = Process(cluster.processes.pid(host_id))
        times, counters = process.cpu_times(), process.io_counters()
        seconds = times.user + times.system
        usage[host_id] = (seconds, counters.read_chars)
    relayed = cluster.command_relay("counters")["counters"]
    datagrams = relayed.get("datagrams", 0) * UDP_HEADER_BYTES
    return usage, relayed.get("bytes", 0) + datagrams


async def test_rest_costs_what_is_allowed(cluster, capsys):
    before, relayed_before = read_usage(cluster)
    await sleep(MEASURED_S)
    after, relayed_after = read_usage(cluster)
    shares, rates = [], []
    for host_id in before:
        seconds, streamed = (
            late - early
            for late, early in zip(after[host_id], before[host_id], strict=True)
        )
        shares.append(seconds / MEASURED_S)
        rates.append(streamed / MEASURED_S)
    datagram_rate = (relayed_after - relayed_before) / MEASURED_S
    with capsys.disabled():
        print(f"\nidle deployment of {len(rates)} processes:")
        print(f"streams: {min(rates):.0f} to {max(rates):.0f} B/s received per process")
        print(f"datagrams: {datagram_rate:.0f} B/s in total")
        print(f"CPU: {min(shares):.2%} to {max(shares):.2%} of a core per process")
    assert min(rates) > 0
    sent_rate = sum(rates) / len(rates)
    assert max(rates) + sent_rate + datagram_rate <= MAX_BYTES_PER_S
    assert max(shares) <= MAX_CPU_SHARE
