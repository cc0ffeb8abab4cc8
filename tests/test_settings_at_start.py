"""Processes whose settings can't be used, or change at any moment."""

import pytest

from tests.test_connection_daemon import (
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
