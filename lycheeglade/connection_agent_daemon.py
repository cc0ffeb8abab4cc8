"""Process of the agent that runs beside a target."""

from asyncio import create_task, open_connection, sleep, timeout
from collections.abc import Awaitable, Callable
from functools import partial
from random import SystemRandom
from time import monotonic, process_time, time

from lycheeglade.address import Address
from lycheeglade.connection_agent import (
    is_port_check_due,
    receive_from_target,
    receive_message,
)
from lycheeglade.connection_agent import tick as tick_agent
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    ConnectionAgentActions,
)
from lycheeglade.connection_daemon import (
    EventLog,
    ProcessSettings,
    SegmentCodec,
    decode_or_log,
    install_stop_handlers,
    log_callback_failures,
    open_sockets,
    run_until,
)
from lycheeglade.connection_load import MS_PER_S, announce_exit
from lycheeglade.errors import PacketError
from lycheeglade.relay_message import decode_message, encode_message
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.supervision import contain

TICK_S = 0.02
# Running requests have STOP_TIMEOUT_S seconds to finish before the process
# exits.
STOP_TIMEOUT_S = 0.5
# Pauses after the reports of the exit. A balancer that gets none of them takes
# the exit for a crash, and its link may be full for a moment.
EXIT_REPORT_PAUSES_S = (0.02, 0.04, 0.08, 0.16, 0.02)
CONNECT_TIMEOUT_S = 0.1


async def accepts_connections(address: Address) -> bool:
    """Return whether a process listens at `address`.

    Only a refusal shows that none does. Without an answer within
    `CONNECT_TIMEOUT_S`, a process counts as there.
    """
    try:
        async with timeout(CONNECT_TIMEOUT_S):
            _, writer = await open_connection(address.ip, address.port)
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.close()
    return True


async def run_connection_agent(
    settings: ProcessSettings,
    codec: SegmentCodec,
    serve_readiness: Callable[[Callable[[], bool]], Awaitable[None]],
    log: EventLog,
) -> None:
    """Run an agent until the process receives SIGTERM or SIGINT."""
    stop = install_stop_handlers()
    log_callback_failures(log)

    def handle_datagram(datagram: bytes, source: tuple) -> None:
        segment = decode_or_log(codec.decode, datagram, source, log)
        if segment is not None:
            receive_from_target(agent, segment, monotonic())

    def handle_message(datagram: bytes, source: tuple) -> None:
        message = decode_or_log(decode_message, datagram, source, log)
        if message is None:
            return
        try:
            receive_message(agent, message, Address(*source), monotonic())
        except PacketError as error:
            log("malformed", source=source, cause=error.cause)

    def deliver(segment: Segment, tag: int) -> None:
        datagram = codec.tag(segment.datagram, tag) if tag else segment.datagram
        external.send(datagram, settings.upstream)

    def answer(segment: Segment) -> None:
        internal.send(segment.datagram, (segment.destination.ip, settings.caller_port))

    def reset(key: ConnectionKey, acknowledgement: int) -> None:
        datagram = codec.encode_reset(key, acknowledgement)
        internal.send(datagram, (key.caller.ip, settings.caller_port))

    sockets = await open_sockets(settings, handle_message, handle_datagram, stop, log)
    if sockets is None:
        return
    internal, external = sockets
    actions = ConnectionAgentActions(
        send=lambda address, message: internal.send(encode_message(message), address),
        deliver=deliver,
        answer=answer,
        reset=reset,
        decode=codec.decode,
        log=log,
        record=log.record,
    )
    agent = ConnectionAgent(
        settings.service,
        SystemRandom().getrandbits(63),
        actions,
        monotonic(),
        settings.limits,
        time() * MS_PER_S,
        warmup_bounds=settings.warmup_bounds,
    )
    log(
        "started",
        host=settings.host_id,
        role="agent",
        service=settings.service,
        cpu_s=process_time(),
    )
    readiness = create_task(serve_readiness(lambda: not stop.is_set()))
    port_check = None
    tick_connections = contain(partial(tick_agent, agent), "connections", log)
    report_exit = contain(partial(announce_exit, agent), "exit-report", log)

    async def check_port() -> None:
        agent.is_port_closed = not await accepts_connections(settings.upstream)

    def start_port_check(now: float) -> None:
        nonlocal port_check
        if is_port_check_due(agent, now):
            port_check = create_task(check_port())

    tick_port_check = contain(start_port_check, "port-check", log)

    def tick(now: float) -> None:
        tick_port_check(now)
        tick_connections(now)

    await run_until(stop, tick, TICK_S)
    log("stopping", host=settings.host_id)
    stopped_at = monotonic()
    agent.has_target_ended = not await accepts_connections(settings.upstream)
    for pause in EXIT_REPORT_PAUSES_S:
        reported_at = monotonic()
        report_exit(reported_at)
        while monotonic() - reported_at < pause:
            await sleep(TICK_S)
            tick_connections(monotonic())
    while agent.running_by_key and monotonic() - stopped_at < STOP_TIMEOUT_S:
        await sleep(TICK_S)
        tick_connections(monotonic())
    log("stopped", host=settings.host_id)
    readiness.cancel()
    if port_check is not None:
        port_check.cancel()
