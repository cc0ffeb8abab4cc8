"""Process of a balancer: its sockets, clock and signals."""

from asyncio import get_running_loop
from collections.abc import Callable, Mapping
from functools import partial
from logging import ERROR, INFO, getLogger
from random import Random, SystemRandom
from time import monotonic

from lycheeglade.address import Address
from lycheeglade.balancer import (
    Balancer,
    BalancerActions,
    make_balancer,
    may_carry,
)
from lycheeglade.blackboard import Blackboard
from lycheeglade.daemon import ProcessParts, ViewApplier, run_process
from lycheeglade.failures import FailureLog
from lycheeglade.histograms import Metrics, Stage, Work
from lycheeglade.logs import log_event
from lycheeglade.recorder import (
    BalancerInputs,
    Recorder,
    connect_balancer,
    open_recorder,
)
from lycheeglade.settings import Settings
from lycheeglade.trace_writer import TraceOptions
from lycheeglade.transport import DatagramSocket
from lycheeglade.view import Service, View

logger = getLogger(__name__)

IDLE_AFTER_S = 1.0
PACKETS_PER_SAMPLE = 64


class ServiceSockets:
    """Sockets on the addresses of the services.

    The time that the balancer spends on a packet is recorded for one in every
    `PACKETS_PER_SAMPLE` packets.
    """

    def __init__(self, settings: Settings, metrics: Metrics):
        self._settings = settings
        self._metrics = metrics
        self._packets_until_sample = 1
        self._sockets_by_address: dict[tuple[str, Address], DatagramSocket] = {}
        self._record_batch: Callable[[int, bool], None] | None = None
        self.heard_at = float("-inf")

    def answer(self, service: str, caller: Address, datagram: bytes) -> None:
        """Send `datagram` to `caller` from the service's address."""
        for (name, _), socket in self._sockets_by_address.items():
            if name == service:
                socket.send(datagram, caller)
                return

    def update(self, balancer: Balancer, inputs: BalancerInputs, view: View) -> None:
        """Open and close sockets so that they match the view."""
        if self._record_batch is None:
            # All sockets share one callback, since there may be thousands of
            # sockets.
            self._record_batch = lambda packets, drained: inputs.record_batch(
                packets, drained, monotonic()
            )
        wanted = {
            (service.name, address)
            for service in view.services_by_name.values()
            if may_carry(balancer, service)
            for address in self._addresses(service)
        }
        for key in self._sockets_by_address.keys() - wanted:
            self._sockets_by_address.pop(key).close()
        for key in wanted - self._sockets_by_address.keys():
            self._open(inputs, *key)

    @property
    def dropped(self) -> int:
        """Number of datagrams that the open sockets failed to send."""
        return sum(socket.dropped for socket in self._sockets_by_address.values())

    def describe(self) -> list[str]:
        """Return the addresses on which the balancer listens."""
        return sorted(f"{name} {at}" for name, at in self._sockets_by_address)

    def _addresses(self, service: Service) -> tuple[Address, ...]:
        return self._settings.listen_by_service.get(service.name, service.addresses)

    def _open(self, inputs: BalancerInputs, service: str, address: Address) -> None:
        receive = partial(self._receive, inputs, service)
        try:
            socket = DatagramSocket(
                get_running_loop(),
                receive,
                local=address,
                on_batch=self._record_batch,
            )
        except OSError as error:
            self._metrics.count("socket", service, "bind-failed")
            log_event(
                logger,
                ERROR,
                "bind-failed",
                service=service,
                address=address,
                reason=error,
            )
            return
        self._sockets_by_address[service, address] = socket
        log_event(logger, INFO, "listening", service=service, address=address)

    def _receive(
        self, inputs: BalancerInputs, service: str, datagram: bytes, source: tuple
    ) -> None:
        self.heard_at = monotonic()
        inputs.receive_from_caller(service, source, datagram, self.heard_at)
        self._packets_until_sample -= 1
        if not self._packets_until_sample:
            self._packets_until_sample = PACKETS_PER_SAMPLE
            seconds = monotonic() - self.heard_at
            self._metrics.record(service, Work.ANY, Stage.BALANCER, seconds)


async def run_balancer(settings: Settings, trace: TraceOptions | None = None) -> int:
    """Run a balancer until it is asked to stop, and return its exit code.

    Parameters
    ----------
    trace : TraceOptions, optional
        Options of the trace that records the balancer's inputs and actions.
    """
    metrics = Metrics()
    seed = SystemRandom().getrandbits(64)
    async with open_recorder(trace, settings, seed, monotonic(), metrics) as recorder:
        return await _run_balancer(settings, seed, metrics, recorder)


async def _run_balancer(
    settings: Settings, seed: int, metrics: Metrics, recorder: Recorder | None
) -> int:
    blackboard = Blackboard()
    failures = FailureLog(metrics)
    services = ServiceSockets(settings, metrics)
    peers = DatagramSocket(
        get_running_loop(),
        lambda datagram, source: inputs.receive_datagram(
            datagram, Address(source[0], source[1]), monotonic()
        ),
        local=settings.packets,
    )
    actions = BalancerActions(
        send=lambda address, datagram: peers.send(datagram, address),
        answer=services.answer,
        count=metrics.count,
    )
    balancer, inputs = connect_balancer(
        lambda actions: make_balancer(
            settings.host_id, settings.zone, settings.packets, actions, Random(seed)
        ),
        actions,
        recorder,
    )

    views = ViewApplier(
        {
            "view": lambda view: inputs.update_view(view, monotonic()),
            "sockets": lambda view: services.update(balancer, inputs, view),
        },
        failures,
    )

    def tick(now: float) -> None:
        views.retry(now)
        inputs.tick(now)

    blackboard.view.subscribe(lambda view: views.apply(view, monotonic()))
    parts = ProcessParts(
        tick=tick,
        begin_stop=lambda now: None,
        count_pending_work=lambda now: int(now - services.heard_at < IDLE_AFTER_S),
        describe=lambda: {
            **describe(balancer, services, settings),
            "unsent_datagrams": peers.dropped + services.dropped,
        },
        is_idle=lambda: monotonic() - services.heard_at >= IDLE_AFTER_S,
    )
    try:
        return await run_process(settings, blackboard, metrics, failures, parts, logger)
    finally:
        peers.close()


def describe(
    balancer: Balancer, services: ServiceSockets, settings: Settings
) -> Mapping[str, object]:
    """Return the state of the process for ``/status``."""
    return {
        "role": "balancer",
        "host": settings.host_id,
        "zone": str(settings.zone),
        "revision": balancer.view.revision,
        "listening": services.describe(),
        "peers": len(balancer.known_addresses),
        "suspects": sorted(map(str, balancer.suspects)),
        "overloaded": balancer.overload.is_overloaded(monotonic()),
        "packets_per_second": balancer.overload.packet_rate,
        "established_flows": len(balancer.overload.established),
        "cached_buckets": len(balancer.candidates),
        "services": {
            name: {
                "revision": service.revision,
                "targets": len(service.targets_by_id),
                "carried_here": may_carry(balancer, service),
            }
            for name, service in balancer.view.services_by_name.items()
        },
    }
