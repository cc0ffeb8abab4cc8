"""Process of a balancer that forwards connections."""

from asyncio import create_task, sleep
from collections.abc import Awaitable, Callable
from random import Random, SystemRandom
from time import monotonic, process_time

from lycheeglade.address import Address
from lycheeglade.cold_targets import ServedView
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    update_routing,
)
from lycheeglade.connection_balancer import tick as tick_balancer
from lycheeglade.connection_balancer_state import (
    ConnectionBalancer,
    ConnectionBalancerActions,
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
from lycheeglade.errors import PacketError
from lycheeglade.relay_message import (
    Message,
    Peers,
    ViewStatus,
    decode_message,
    encode_message,
)
from lycheeglade.route import RoutingView
from lycheeglade.segment import ConnectionKey
from lycheeglade.supervision import contain, keep_running
from lycheeglade.view_currency import NEVER
from lycheeglade.view_follower import FollowStore, ReadStore, ViewFollower
from lycheeglade.view_history import ServedHistory, inherit_history
from lycheeglade.view_transfer import serve_view

TICK_S = 0.02
# A stopping balancer that received no datagrams for MIN_IDLE_S seconds gets no
# more from the fabric.
MIN_IDLE_S = 0.7
MIN_STOP_S = 1.2
MAX_STOP_S = 4.0


async def run_connection_balancer(
    settings: ProcessSettings,
    codec: SegmentCodec,
    read_store: ReadStore,
    follow_store: FollowStore,
    serve_readiness: Callable[[Callable[[], bool]], Awaitable[None]],
    find_seeds: Callable[[], tuple[Address, ...]],
    log: EventLog,
) -> None:
    """Run a balancer until the process receives SIGTERM or SIGINT.

    Parameters
    ----------
    read_store : callable
        Reads the store once.
    follow_store : callable
        Runs forever and publishes the views of the store.
    serve_readiness : callable
        Serves to the fabric whether the process is ready.
    find_seeds : callable
        Returns the internal addresses of some balancers.
    log : EventLog
        Logs and counts the events of the process.
    """
    stop = install_stop_handlers()
    log_callback_failures(log)
    generator = Random(SystemRandom().getrandbits(64))
    last_datagram_at = 0.0

    def handle_datagram(datagram: bytes, source: tuple) -> None:
        nonlocal last_datagram_at
        last_datagram_at = monotonic()
        segment = decode_or_log(codec.decode, datagram, source, log)
        if segment is not None:
            receive_segment(balancer, segment, last_datagram_at)

    def handle_message(datagram: bytes, source: tuple) -> None:
        message = decode_or_log(decode_message, datagram, source, log)
        if message is None:
            return
        address = Address(*source)
        if isinstance(message, Peers | ViewStatus):
            follower.receive(message, address, monotonic())
            return
        try:
            receive_message(balancer, message, address, monotonic())
        except PacketError as error:
            log("malformed", source=source, cause=error.cause)

    def send(address: Address, message: Message) -> None:
        internal.send(encode_message(message), address)

    def reset(key: ConnectionKey, acknowledgement: int) -> None:
        datagram = codec.encode_reset(key, acknowledgement)
        external.send(datagram, (key.caller.ip, settings.caller_port))

    sockets = await open_sockets(settings, handle_message, handle_datagram, stop, log)
    if sockets is None:
        return
    internal, external = sockets
    balancer = ConnectionBalancer(
        settings.zone,
        settings.internal,
        ConnectionBalancerActions(send, reset, log),
        generator,
        settings.limits,
        current_as_of=NEVER,
        warmup_overage=settings.warmup_overage or 1.0,
    )
    served_view = ServedView()
    served_history = ServedHistory()

    def apply_view(view: RoutingView, source: str) -> None:
        log(
            "view",
            source=source,
            revision=view.store,
            configuration=view.configuration,
            routes=len(view.routes_by_address),
            targets=sum(map(len, view.targets_by_service.values())),
        )
        update_routing(balancer, view, monotonic())
        log.set_gauge("evacuated_zones", len(balancer.view.evacuated_zones))

    def inherit(received: RoutingView) -> None:
        inherit_history(balancer, received, monotonic())

    follower = ViewFollower(
        settings.internal,
        settings.zone,
        generator,
        read_store,
        follow_store,
        find_seeds,
        apply_view,
        send,
        log,
        monotonic(),
        inherit,
    )
    log("started", host=settings.host_id, role="balancer", cpu_s=process_time())

    def get_view() -> RoutingView:
        now = monotonic()
        view = served_view.get(follower.get_view(), balancer.loads_by_agent, now)
        return served_history.get(view, balancer, now)

    async def serve_views() -> None:
        server = await serve_view(
            settings.internal,
            get_view,
            lambda: log("client-evicted", cause="views"),
        )
        await server.serve_forever()

    tasks = [
        create_task(
            serve_readiness(
                lambda: bool(balancer.view.configuration) and not stop.is_set()
            )
        ),
        create_task(keep_running(serve_views, "views", log)),
    ]
    tick_follower = contain(follower.tick, "follower", log)

    def advance_balancer(now: float) -> None:
        if balancer.current_as_of == NEVER < follower.current_as_of:
            log("view-current", view_age_s=now - balancer.view_at)
        balancer.current_as_of = follower.current_as_of
        if balancer.searching_keys or balancer.held_segments_by_datagram:
            balancer.is_view_awaited = follower.is_awaiting_view()
        tick_balancer(balancer, now)

    tick_connections = contain(advance_balancer, "connections", log)

    def tick(now: float) -> None:
        tick_follower(now)
        tick_connections(now)

    await run_until(stop, tick, TICK_S)
    stopped_at = monotonic()
    log("stopping", host=settings.host_id)
    follower.resign()
    while (elapsed := monotonic() - stopped_at) < MAX_STOP_S:
        if elapsed > MIN_STOP_S and monotonic() - last_datagram_at > MIN_IDLE_S:
            break
        tick(monotonic())
        await sleep(TICK_S)
    log("stopped", host=settings.host_id)
    follower.close()
    for task in tasks:
        task.cancel()
