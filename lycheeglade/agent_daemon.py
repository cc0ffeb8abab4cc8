"""Process of an agent: its sockets, clock and signals."""

from asyncio import get_running_loop
from collections.abc import Mapping
from logging import getLogger
from random import Random, SystemRandom
from time import monotonic

from lycheeglade.address import Address
from lycheeglade.agent import count_pending_work, make_agent
from lycheeglade.agent_state import (
    BALANCER_FRESH_S,
    Agent,
    AgentActions,
    is_idle,
)
from lycheeglade.blackboard import Blackboard
from lycheeglade.daemon import ProcessParts, ViewApplier, run_process
from lycheeglade.failures import FailureLog
from lycheeglade.flow import FlowKey
from lycheeglade.histograms import Metrics
from lycheeglade.packet import encode_packet
from lycheeglade.recorder import AgentInputs, Recorder, connect_agent, open_recorder
from lycheeglade.served_target import ServedTarget, TargetKey
from lycheeglade.settings import Settings
from lycheeglade.trace_writer import TraceOptions
from lycheeglade.transport import DatagramSocket
from lycheeglade.watch import is_view_fresh

logger = getLogger(__name__)

FLOW_SOCKET_BUFFER_BYTES = 64 * 1024


class UpstreamSockets:
    """Sockets connected to the upstreams, one for each target or flow."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._sockets_by_key: dict[
            tuple[TargetKey, FlowKey | None], tuple[Address, DatagramSocket]
        ] = {}

    def send(
        self,
        agent: Agent,
        inputs: AgentInputs,
        key: TargetKey,
        flow: FlowKey | None,
        datagram: bytes,
    ) -> None:
        """Send a datagram to the target's upstream."""
        served = agent.served_by_key.get(key)
        if served is None:
            return
        upstream = served.target.upstream
        address, socket = self._sockets_by_key.get((key, flow), (None, None))
        if address != upstream:
            if socket is not None:
                socket.close()
            socket = self._open(inputs, key, flow, upstream)
            if socket is None:
                return
        socket.send(datagram)

    @property
    def dropped(self) -> int:
        """Number of datagrams that the open sockets failed to send."""
        return sum(socket.dropped for _, socket in self._sockets_by_key.values())

    def close(self, key: TargetKey, flow: FlowKey | None) -> None:
        """Close the socket of a flow."""
        _, socket = self._sockets_by_key.pop((key, flow), (None, None))
        if socket is not None:
            socket.close()

    def _open(
        self,
        inputs: AgentInputs,
        key: TargetKey,
        flow: FlowKey | None,
        upstream: Address,
    ) -> DatagramSocket | None:
        loop = get_running_loop()
        options = {} if flow is None else {"buffer_bytes": FLOW_SOCKET_BUFFER_BYTES}
        try:
            socket = DatagramSocket(
                loop,
                lambda datagram, source: inputs.receive_from_upstream(
                    key, flow, datagram, monotonic()
                ),
                remote=upstream,
                # The socket reports a failed send from within another call
                # of this agent; the handler must not run before that call
                # has returned.
                on_refused=lambda: loop.call_soon(
                    lambda: inputs.receive_upstream_failure(key, monotonic())
                ),
                **options,
            )
        except OSError:
            self._metrics.count("socket", key.service, "connect-failed")
            return None
        self._sockets_by_key[key, flow] = (upstream, socket)
        return socket


async def run_agent(settings: Settings, trace: TraceOptions | None = None) -> int:
    """Run an agent until it is asked to stop, and return its exit code.

    Parameters
    ----------
    trace : TraceOptions, optional
        Options of the trace that records the agent's inputs and actions.
    """
    metrics = Metrics()
    seed = SystemRandom().getrandbits(64)
    now = monotonic()
    async with open_recorder(trace, settings, seed, now, metrics) as recorder:
        return await _run_agent(settings, seed, now, metrics, recorder)


async def _run_agent(
    settings: Settings,
    seed: int,
    started_at: float,
    metrics: Metrics,
    recorder: Recorder | None,
) -> int:
    blackboard = Blackboard()
    failures = FailureLog(metrics)
    upstreams = UpstreamSockets(metrics)
    peers = DatagramSocket(
        get_running_loop(),
        lambda datagram, source: inputs.receive_datagram(
            datagram, Address(source[0], source[1]), monotonic()
        ),
        local=settings.packets,
    )
    actions = AgentActions(
        send=lambda address, packet: peers.send(encode_packet(packet), address),
        send_upstream=lambda key, flow, datagram: upstreams.send(
            agent, inputs, key, flow, datagram
        ),
        close_upstream=upstreams.close,
        count=metrics.count,
        record=metrics.record,
    )
    agent, inputs = connect_agent(
        lambda actions: make_agent(
            settings.host_id,
            settings.zone,
            actions,
            Random(seed),
            settings.max_flows,
            started_at,
        ),
        actions,
        recorder,
    )
    views = ViewApplier(
        {"view": lambda view: inputs.update_view(view, monotonic())}, failures
    )

    def tick(now: float) -> None:
        views.retry(now)
        inputs.tick(is_view_fresh(blackboard.checked_at.value, now), now)

    blackboard.view.subscribe(lambda view: views.apply(view, monotonic()))
    parts = ProcessParts(
        tick=tick,
        begin_stop=inputs.begin_stop,
        count_pending_work=lambda now: count_pending_work(agent),
        describe=lambda: {
            **describe(agent, settings),
            "unsent_datagrams": peers.dropped + upstreams.dropped,
        },
        is_idle=lambda: is_idle(agent),
    )
    try:
        return await run_process(settings, blackboard, metrics, failures, parts, logger)
    finally:
        peers.close()


def describe(agent: Agent, settings: Settings) -> Mapping[str, object]:
    """Return the state of the process for ``/status``."""
    now = monotonic()
    return {
        "role": "agent",
        "host": settings.host_id,
        "zone": str(settings.zone),
        "revision": agent.view.revision,
        "incarnation": f"{agent.incarnation:016x}",
        "waits_for_view": agent.is_view_stale,
        "peers": len(agent.known_addresses),
        "balancers_heard": _count_heard(agent, now),
        "suspects": sorted(map(str, agent.suspects)),
        "timers": len(agent.timers),
        "targets": {
            f"{key.service}/{key.target_id}": _describe_target(served, now)
            for key, served in agent.served_by_key.items()
        },
    }


def _count_heard(agent: Agent, now: float) -> int:
    """Return the number of balancers times within `BALANCER_FRESH_S`."""
    times = agent.last_heard_by_balancer.values()
    return sum(now - heard_at < BALANCER_FRESH_S for heard_at in times)


def _describe_target(served: ServedTarget, now: float) -> Mapping[str, object]:
    load = served.admission.load(now)
    return {
        "draining": served.draining,
        "removed": served.removed_at is not None,
        "upstream_down": served.is_down,
        "flows": len(served.records_by_flow),
        "feeds": len(served.feeds_by_upstream_token),
        "pointers": len(served.homes_by_flow),
        "openings": len(served.openings_by_flow),
        "handoffs": len(served.outgoing_by_id),
        "running": load.running,
        "queued": load.queued,
        "limit": load.limit,
        "service_time_s": load.service_time,
        "tickets": len(served.ticket_registry),
    }
