import logging
from io import StringIO
from socket import AF_INET, SOCK_STREAM, socket

import pytest
from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st

from lycheeglade.address import Address
from lycheeglade.histograms import OTHER, Metrics, Stage, Work
from lycheeglade.logs import EventFormatter, log_event
from lycheeglade.operations import serve_operations
from lycheeglade.status import fetch_status, format_status


def free_address():
    with socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(*probe.getsockname())


@pytest.fixture
def metrics():
    metrics = Metrics()
    for milliseconds in range(1, 101):
        metrics.record("booth-sync", Work.FEED, Stage.WHOLE, milliseconds / 1000)
    metrics.count("dropped", "booth-sync", "forged", 3)
    return metrics


def describe():
    return {
        "host": "a-1",
        "peers": [{"host": "b", "silent": False}],
        "limits": {"flows": 7, "targets": {"booth-sync/1": {"limit": 2.5}}},
    }


async def test_everything_but_reads_is_refused(metrics):
    address = free_address()
    async with serve_operations(address, metrics, describe), ClientSession() as client:
        for path in ("/status", "/metrics", "/histograms"):
            for method in ("POST", "PUT", "DELETE", "PATCH", "OPTIONS"):
                url = f"http://{address}{path}"
                async with client.request(method, url) as response:
                    assert (response.status, response.headers["Allow"]) == (
                        405,
                        "GET,HEAD",
                    )
            async with client.head(f"http://{address}{path}") as response:
                assert response.status == 200


async def test_prometheus_text_matches_what_was_recorded(metrics):
    address = free_address()
    async with (
        serve_operations(address, metrics, describe),
        ClientSession() as client,
        client.get(f"http://{address}/metrics") as response,
    ):
        lines = (await response.text()).splitlines()
    assert 'lycheeglade_dropped_total{cause="forged",service="booth-sync"} 3.0' in lines
    labels = 'service="booth-sync",stage="whole",work="feed"'
    name = "lycheeglade_latency_seconds"
    assert f"{name}_count{{{labels}}} 100.0" in lines
    assert f'{name}_bucket{{le="0.05",{labels}}} 50.0' in lines


async def test_status_table_and_json(metrics):
    address = free_address()
    async with serve_operations(address, metrics, describe):
        status = await fetch_status(address)
    assert status["histograms"][0]["p50_s"] == pytest.approx(0.05, rel=0.02)
    del status["histograms"]
    assert format_status(status) == (
        "host          a-1\n"
        "limits.flows  7\n"
        "\n"
        "peers\n"
        "host  silent\n"
        "b     no\n"
        "\n"
        "limits.targets\n"
        "targets       limit\n"
        "booth-sync/1  2.5"
    )


def test_number_of_series_is_bounded():
    metrics = Metrics(max_histograms=2, max_counters=2)
    for number in range(100):
        metrics.record(f"s{number}", Work.FEED, Stage.QUEUE, 1e9)
        metrics.count("dropped", f"s{number}", "forged")
    assert [item.count for item in metrics.percentiles()] == [98, 1, 1]
    assert metrics.counter("dropped", OTHER, OTHER) == 98
    assert len(metrics.counters()) == 3


@given(st.text(), st.floats(), st.text())
def test_log_line_is_one_line_of_pairs(text, number, cause):
    stream = StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(EventFormatter())
    logger = logging.Logger("lycheeglade.test")
    logger.addHandler(handler)
    log_event(logger, logging.INFO, "dropped", text=text, number=number, cause=cause)
    line = stream.getvalue()
    assert line.endswith("\n")
    assert len(line.splitlines()) == 1
    assert " event=dropped text=" in line
