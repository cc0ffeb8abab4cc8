"""Processes whose settings can't be used, or change at any moment."""

from asyncio.subprocess import PIPE

import pytest

from tests.test_connection_daemon import (
    BALANCER_IP,
    IP_BY_ROLE,
    wait_ready,
)
from tests.test_connection_daemon import deployment as start_deployment

deployment = start_deployment


async def end(process):
    if process.returncode is None:
        process.kill()
    await process.wait()


@pytest.mark.parametrize(
    ("role", "line"),
    [
        ("agent", "platform.address="),
        ("agent", "platform.address=10.0.0.1:99999"),
        ("agent", "zone="),
        ("agent", "seeds=edge-a:8166"),
        ("balancer", "listen.outbound=nowhere"),
        ("balancer", "app=10.1.0.13:many"),
    ],
)
async def test_process_starts_without_a_value_that_it_does_not_use(
    deployment, role, line
):
    """Each start ended with exit code 2."""
    ip = IP_BY_ROLE[role]
    process = await deployment.start(role, ip, more_settings=f"{line}\n")
    try:
        await wait_ready(ip)
    finally:
        await end(process)


async def test_balancer_starts_with_a_seed_that_cannot_be_used(deployment):
    """Each start ended with exit code 2."""
    seeds = "seeds=10.0.0.9:8166,edge-a:8166\n"
    process = await deployment.start("balancer", BALANCER_IP, PIPE, seeds)
    try:
        await wait_ready(BALANCER_IP)
    finally:
        process.terminate()
        output, _ = await process.communicate()
    (line,) = [line for line in output.splitlines() if b"event=seed-ignored" in line]
    assert b"seed=edge-a:8166 reason=\"'edge-a' does not" in line
