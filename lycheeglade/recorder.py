"""Records the inputs and actions of a core at its boundary to the daemon.

A daemon calls a core through its inputs, and the core acts through its
actions. Both are plain callables that a recorder wraps; without a recorder,
the daemon calls the core directly.
"""

from asyncio import create_task, wait
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from math import isfinite
from secrets import token_bytes

from lycheeglade import __version__
from lycheeglade import agent as agent_core
from lycheeglade import balancer as balancer_core
from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, AgentActions
from lycheeglade.balancer import Balancer, BalancerActions
from lycheeglade.errors import PacketError
from lycheeglade.failures import FailureLog
from lycheeglade.flow import FlowKey
from lycheeglade.histograms import Metrics
from lycheeglade.packet import (
    Delegate,
    DelegateReply,
    Packet,
    decode_packet,
    encode_packet,
)
from lycheeglade.recording import (
    FORMAT,
    Action,
    Answered,
    Batch,
    ClosedUpstream,
    Counted,
    FromCaller,
    FromProcess,
    FromUpstream,
    Header,
    Line,
    PortClosed,
    Sent,
    SentUpstream,
    Stop,
    Tick,
    Timed,
    encode_line,
)
from lycheeglade.redaction import Redactor
from lycheeglade.served_target import TargetKey
from lycheeglade.settings import Settings
from lycheeglade.staleness import update_view_freshness
from lycheeglade.trace_writer import (
    CLOSE_TIMEOUT_S,
    TraceOptions,
    TraceWriter,
    open_stream,
)
from lycheeglade.view import Protocol, View
from lycheeglade.view_change import describe_change

KEY_BYTES = 32
# 0xC1 is unused in MessagePack, so no decoder accepts it.
_INVALID_MESSAGEPACK = b"\xc1"


def raise_failure(error: Exception, now: float) -> None:
    """Raise `error`, for callers that must not lose a line."""
    raise error


@dataclass(frozen=True, slots=True)
class BalancerInputs:
    """Callables through which a daemon calls a balancer's core."""

    receive_from_caller: Callable[[str, tuple, bytes, float], None]
    receive_datagram: Callable[[bytes, Address, float], None]
    record_batch: Callable[[int, bool, float], None]
    update_view: Callable[[View, float], None]
    tick: Callable[[float], None]


@dataclass(frozen=True, slots=True)
class AgentInputs:
    """Callables through which a daemon calls an agent's core.

    Attributes
    ----------
    tick : callable
        Receives whether the view is fresh, and the present time.
    """

    receive_datagram: Callable[[bytes, Address, float], None]
    receive_from_upstream: Callable[[TargetKey, FlowKey | None, bytes, float], None]
    receive_upstream_failure: Callable[[TargetKey, float], None]
    update_view: Callable[[View, float], None]
    tick: Callable[[bool, float], None]
    begin_stop: Callable[[float], None]


def balancer_inputs(balancer: Balancer) -> BalancerInputs:
    """Return the inputs of a balancer's core."""
    return BalancerInputs(
        partial(balancer_core.receive_from_caller, balancer),
        partial(balancer_core.receive_datagram, balancer),
        balancer.overload.record_batch,
        lambda view, now: balancer_core.update_view(balancer, view),
        partial(balancer_core.tick, balancer),
    )


def agent_inputs(agent: Agent) -> AgentInputs:
    """Return the inputs of an agent's core."""

    def tick(is_fresh: bool, now: float) -> None:
        update_view_freshness(agent, is_fresh, now)
        agent_core.tick(agent, now)

    return AgentInputs(
        partial(agent_core.receive_datagram, agent),
        partial(agent_core.receive_from_upstream, agent),
        partial(agent_core.receive_upstream_failure, agent),
        partial(agent_core.update_view, agent),
        tick,
        partial(agent_core.begin_stop, agent),
    )


class Recorder:
    """Writes the inputs and actions of one core as lines of a recording.

    Parameters
    ----------
    write : callable
        Receives each line except the header, and the line's time.
    is_whole : bool
        Whether payloads are written unredacted.
    on_failure : callable
        Called with the error and its time if a line can't be written. What
        the line records is not affected.
    """

    def __init__(
        self,
        write: Callable[[bytes, float], None],
        *,
        is_whole: bool,
        on_failure: Callable[[Exception, float], None] = raise_failure,
    ):
        self._write = write
        self._on_failure = on_failure
        self._actions: list[Action] = []
        self._view = View()
        self._protocols_by_service: dict[str, Protocol] = {}
        self._redactor = None
        if not is_whole:
            key = token_bytes(KEY_BYTES)
            self._redactor = Redactor(key, self._protocols_by_service.get)

    def balancer_actions(self, actions: BalancerActions) -> BalancerActions:
        """Return `actions` wrapped to record each one before it runs."""

        def send(address: Address, datagram: bytes) -> None:
            packet = self._redact_packet(decode_packet(datagram))
            self._actions.append(Sent(address, packet))
            actions.send(address, datagram)

        def answer(service: str, caller: Address, datagram: bytes) -> None:
            self._actions.append(
                Answered(service, Address(*caller[:2]), self._redact(datagram, service))
            )
            actions.answer(service, caller, datagram)

        return BalancerActions(send, answer, self._record_count(actions.count))

    def agent_actions(self, actions: AgentActions) -> AgentActions:
        """Return `actions` wrapped to record each one before it runs."""

        def send(address: Address, packet: Packet) -> None:
            self._actions.append(Sent(address, self._redact_packet(packet)))
            actions.send(address, packet)

        def send_upstream(key: TargetKey, flow: FlowKey | None, datagram: bytes):
            redacted = self._redact(datagram, key.service)
            self._actions.append(SentUpstream(*key, flow, redacted))
            actions.send_upstream(key, flow, datagram)

        def close_upstream(key: TargetKey, flow: FlowKey) -> None:
            self._actions.append(ClosedUpstream(*key, flow))
            actions.close_upstream(key, flow)

        def record(service: str, work: str, stage: str, seconds: float) -> None:
            self._actions.append(Timed(service, str(work), str(stage), seconds))
            actions.record(service, work, stage, seconds)

        return AgentActions(
            send,
            send_upstream,
            close_upstream,
            self._record_count(actions.count),
            record,
        )

    def balancer_inputs(self, inputs: BalancerInputs) -> BalancerInputs:
        """Return `inputs` wrapped to write one line for each call."""

        def from_caller(service, caller, datagram, now, **result):
            return FromCaller(
                at=now,
                service=service,
                caller=Address(*caller[:2]),
                datagram=self._redact(datagram, service),
                **result,
            )

        def batch(packets, drained, now, **result):
            return Batch(at=now, packets=packets, drained=drained, **result)

        def tick(now, **result):
            return Tick(at=now, **result)

        return BalancerInputs(
            self._record_call(inputs.receive_from_caller, from_caller),
            self._record_call(inputs.receive_datagram, self._describe_packet),
            self._record_call(inputs.record_batch, batch),
            self._record_call(
                self._track_protocols(inputs.update_view), self._describe_view
            ),
            self._record_call(inputs.tick, tick),
        )

    def agent_inputs(self, inputs: AgentInputs) -> AgentInputs:
        """Return `inputs` wrapped to write one line for each call."""

        def from_upstream(key, flow, datagram, now, **result):
            return FromUpstream(
                at=now,
                service=key.service,
                target=key.target_id,
                flow=flow,
                datagram=self._redact(datagram, key.service),
                **result,
            )

        def port_closed(key, now, **result):
            return PortClosed(
                at=now, service=key.service, target=key.target_id, **result
            )

        def tick(is_fresh, now, **result):
            return Tick(at=now, fresh=is_fresh, **result)

        def stop(now, **result):
            return Stop(at=now, **result)

        return AgentInputs(
            self._record_call(inputs.receive_datagram, self._describe_packet),
            self._record_call(inputs.receive_from_upstream, from_upstream),
            self._record_call(inputs.receive_upstream_failure, port_closed),
            self._record_call(
                self._track_protocols(inputs.update_view), self._describe_view
            ),
            self._record_call(inputs.tick, tick),
            self._record_call(inputs.begin_stop, stop),
        )

    def _record_call(
        self, function: Callable, describe: Callable[..., Line]
    ) -> Callable:
        """Return `function` wrapped to write a line after each call.

        The last argument of `function` is the present time.
        """

        def call(*arguments):
            raised = ""
            self._actions.clear()
            try:
                function(*arguments)
            except Exception as error:
                raised = type(error).__name__
                raise
            finally:
                self._write_call(describe, arguments, raised)

        return call

    def _write_call(
        self, describe: Callable[..., Line], arguments: tuple, raised: str
    ) -> None:
        now = arguments[-1]
        try:
            line = describe(*arguments, did=tuple(self._actions), raised=raised)
            self._write(encode_line(line), now)
        except Exception as error:
            self._on_failure(error, now)

    def _record_count(self, count: Callable[[str, str, str], None]) -> Callable:
        def record_count(name: str, service: str, cause: str) -> None:
            self._actions.append(Counted(name, service, str(cause)))
            count(name, service, cause)

        return record_count

    def _describe_packet(self, datagram, source, now, **result) -> FromProcess:
        try:
            packet = self._redact_packet(decode_packet(datagram))
            if not _fits_json(packet):
                packet = encode_packet(packet)
        except PacketError:
            packet = datagram
            if self._redactor is not None:
                packet = datagram[:1] + _INVALID_MESSAGEPACK * (len(datagram) - 1)
        return FromProcess(at=now, source=source, packet=packet, **result)

    def _describe_view(self, view: View, now: float, **result) -> Line:
        previous, self._view = self._view, view
        return describe_change(previous, view, now, **result)

    def _track_protocols(self, update_view: Callable[[View, float], None]) -> Callable:
        def update(view: View, now: float) -> None:
            # Removed services stay known, since their flows may still be open.
            for name, service in view.services_by_name.items():
                self._protocols_by_service[name] = service.protocol
            update_view(view, now)

        return update

    def _redact(self, datagram: bytes, service: str) -> bytes:
        if self._redactor is None:
            return datagram
        return self._redactor.redact_datagram(datagram, service)

    def _redact_packet(self, packet: Packet) -> Packet:
        if self._redactor is None:
            return packet
        return self._redactor.redact_packet(packet)


def connect_balancer(
    make_core: Callable[[BalancerActions], Balancer],
    actions: BalancerActions,
    recorder: Recorder | None,
) -> tuple[Balancer, BalancerInputs]:
    """Return a balancer's core and its inputs, wrapped by any recorder."""
    if recorder is None:
        balancer = make_core(actions)
        return balancer, balancer_inputs(balancer)
    balancer = make_core(recorder.balancer_actions(actions))
    return balancer, recorder.balancer_inputs(balancer_inputs(balancer))


def connect_agent(
    make_core: Callable[[AgentActions], Agent],
    actions: AgentActions,
    recorder: Recorder | None,
) -> tuple[Agent, AgentInputs]:
    """Return an agent's core and its inputs, wrapped by any recorder."""
    if recorder is None:
        agent = make_core(actions)
        return agent, agent_inputs(agent)
    agent = make_core(recorder.agent_actions(actions))
    return agent, recorder.agent_inputs(agent_inputs(agent))


def _fits_json(packet: Packet) -> bool:
    """Return whether the packet has no NaN or infinity, which JSON lacks."""
    if isinstance(packet, Delegate):
        return isfinite(packet.home_busy)
    return not isinstance(packet, DelegateReply) or isfinite(packet.busy)


@asynccontextmanager
async def open_recorder(
    options: TraceOptions | None,
    settings: Settings,
    seed: int,
    now: float,
    metrics: Metrics,
) -> AsyncIterator[Recorder | None]:
    """Yield the recorder of a starting process, or None without `options`.

    Parameters
    ----------
    seed : int
        Seed of the core's random generator.
    """
    if options is None:
        yield None
        return
    writer = TraceWriter(
        partial(open_stream, options),
        lambda lines: metrics.count("trace", "", "dropped", lines),
    )
    header = Header(
        at=now,
        format=FORMAT,
        version=__version__,
        role=settings.role,
        host=settings.host_id,
        zone=settings.zone,
        packets=settings.packets,
        max_flows=settings.max_flows,
        seed=f"{seed:x}",
        is_whole=options.is_whole,
    )
    writer.start(encode_line(header))
    task = create_task(writer.run())
    failures = FailureLog(metrics)

    def handle_failure(error: Exception, now: float) -> None:
        failures.record("trace", error, now)
        writer.drop(now)

    try:
        yield Recorder(
            writer.write, is_whole=options.is_whole, on_failure=handle_failure
        )
    finally:
        writer.finish()
        await wait([task], timeout=CLOSE_TIMEOUT_S)
        task.cancel()
