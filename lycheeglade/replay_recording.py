"""Replays the inputs of a recording into a fresh core of the same role.

The replay stops at the first line whose actions differ from the recorded ones,
since later differences are likely to result from the first.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from msgspec.json import encode as encode_json
from msgspec.structs import replace

from lycheeglade.agent import make_agent
from lycheeglade.agent_state import AgentActions
from lycheeglade.balancer import BalancerActions, make_balancer
from lycheeglade.packet import HandoffCommit, decode_packet, encode_packet
from lycheeglade.recorder import (
    AgentInputs,
    BalancerInputs,
    agent_inputs,
    balancer_inputs,
)
from lycheeglade.recording import (
    Action,
    Answered,
    Batch,
    ClosedUpstream,
    Counted,
    FromCaller,
    FromProcess,
    FromUpstream,
    Gap,
    Header,
    Input,
    Line,
    PortClosed,
    Recording,
    Sent,
    SentUpstream,
    Stop,
    Tick,
    Timed,
    ViewChange,
)
from lycheeglade.served_target import TargetKey
from lycheeglade.view import Role, View
from lycheeglade.view_change import apply_change

MAX_SHOWN_CHARACTERS = 400


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the replay of a recording.

    Attributes
    ----------
    checked : int
        Number of lines whose actions equal the recorded ones.
    seconds : float
        Recorded time from the header to the last replayed line.
    fault : tuple or None
        Number of the first line that differs, and texts that describe the
        difference.
    gap : tuple or None
        Line number of a gap, and the least number of lines missing there.
        Lines after the gap are not checked.
    """

    checked: int
    seconds: float
    fault: tuple[int, tuple[str, ...]] | None = None
    gap: tuple[int, int] | None = None


class Core:
    """A fresh core that receives the inputs of a recording."""

    def __init__(self, header: Header):
        self._actions: list[Action] = []
        self._view = View()
        generator = Random(int(header.seed, 16))
        if header.role is Role.BALANCER:
            actions = _balancer_actions(self._actions.append)
            balancer = make_balancer(
                header.host, header.zone, header.packets, actions, generator
            )
            self._inputs = balancer_inputs(balancer)
        else:
            agent = make_agent(
                header.host,
                header.zone,
                _agent_actions(self._actions.append),
                generator,
                header.max_flows,
                header.at,
            )
            self._inputs = agent_inputs(agent)

    def apply(self, line: Input) -> tuple[tuple[Action, ...], str]:
        """Return the core's actions on an input and the type of its error."""
        self._actions.clear()
        raised = ""
        if isinstance(line, ViewChange):
            self._view = apply_change(self._view, line)
        try:
            _APPLY_BY_KIND[type(line)](self._inputs, line, self._view)
        except Exception as error:
            raised = type(error).__name__
        return tuple(self._actions), raised


def _apply_tick(inputs: AgentInputs | BalancerInputs, line: Tick, view: View) -> None:
    if isinstance(inputs, AgentInputs):
        inputs.tick(line.fresh, line.at)
    else:
        inputs.tick(line.at)


def _apply_packet(inputs, line: FromProcess, view: View) -> None:
    packet = line.packet
    datagram = packet if isinstance(packet, bytes) else encode_packet(packet)
    inputs.receive_datagram(datagram, line.source, line.at)


_APPLY_BY_KIND: dict[type[Line], Callable] = {
    ViewChange: lambda inputs, line, view: inputs.update_view(view, line.at),
    FromProcess: _apply_packet,
    FromCaller: lambda inputs, line, view: inputs.receive_from_caller(
        line.service, line.caller, line.datagram, line.at
    ),
    Batch: lambda inputs, line, view: inputs.record_batch(
        line.packets, line.drained, line.at
    ),
    FromUpstream: lambda inputs, line, view: inputs.receive_from_upstream(
        TargetKey(line.service, line.target), line.flow, line.datagram, line.at
    ),
    PortClosed: lambda inputs, line, view: inputs.receive_upstream_failure(
        TargetKey(line.service, line.target), line.at
    ),
    Tick: _apply_tick,
    Stop: lambda inputs, line, view: inputs.begin_stop(line.at),
}


def _balancer_actions(append: Callable[[Action], None]) -> BalancerActions:
    return BalancerActions(
        send=lambda address, datagram: append(Sent(address, decode_packet(datagram))),
        answer=lambda service, caller, datagram: append(
            Answered(service, caller, datagram)
        ),
        count=lambda name, service, cause: append(Counted(name, service, str(cause))),
    )


def _agent_actions(append: Callable[[Action], None]) -> AgentActions:
    return AgentActions(
        send=lambda address, packet: append(Sent(address, packet)),
        send_upstream=lambda key, flow, datagram: append(
            SentUpstream(*key, flow, datagram)
        ),
        close_upstream=lambda key, flow: append(ClosedUpstream(*key, flow)),
        count=lambda name, service, cause: append(Counted(name, service, str(cause))),
        record=lambda service, work, stage, seconds: append(
            Timed(service, str(work), str(stage), seconds)
        ),
    )


def replay_recording(recording: Recording) -> Verdict:
    """Replay a recording up to its end, first gap or first difference."""
    header = recording.header
    core = Core(header)
    checked = 0
    at = header.at
    for numbered in recording.lines:
        line = numbered.line
        if isinstance(line, (Gap, Header)):
            missing = line.lines if isinstance(line, Gap) else 0
            return Verdict(checked, at - header.at, gap=(numbered.number, missing))
        at = line.at
        did, raised = core.apply(line)
        if line.did is None:
            continue
        difference = _compare(line, did, raised, is_whole=header.is_whole)
        if difference:
            fault = (numbered.number, difference)
            return Verdict(checked, at - header.at, fault=fault)
        checked += 1
    return Verdict(checked, at - header.at)


def _compare(
    line: Input, did: tuple[Action, ...], raised: str, *, is_whole: bool
) -> tuple[str, ...]:
    """Return texts that describe the first difference; empty if none."""
    recorded, replayed = line.did, did
    if not is_whole:
        recorded = tuple(map(_mask_digests, recorded))
        replayed = tuple(map(_mask_digests, replayed))
    for index in range(max(len(recorded), len(replayed))):
        pair = [each[index : index + 1] for each in (recorded, replayed)]
        if pair[0] != pair[1]:
            old, new = (_format_first_action(each) for each in pair)
            return (f"did[{index}] recorded: {old}", f"did[{index}] replayed: {new}")
    if line.raised != raised:
        return (
            f"raised recorded: {line.raised or 'nothing'}",
            f"raised replayed: {raised or 'nothing'}",
        )
    return ()


def _mask_digests(action: Action) -> Action:
    """Return an action without digests of redacted contents.

    The state of a handoff holds digests of requests, which a replay computes
    from redacted requests, so zero bytes replace the state.
    """
    if isinstance(action, Sent) and isinstance(action.packet, HandoffCommit):
        packet = replace(action.packet, state=bytes(len(action.packet.state)))
        return Sent(action.to, packet)
    return action


def _format_first_action(actions: tuple[Action, ...]) -> str:
    if not actions:
        return "nothing"
    text = encode_json(actions[0]).decode()
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text


def format_verdict(recording: Recording, verdict: Verdict) -> list[str]:
    """Return the report of a replay as lines of text."""
    header = recording.header
    about = (
        f"{header.role} {header.host}, {verdict.checked} lines checked over"
        f" {verdict.seconds:.3f} s"
    )
    if verdict.fault is not None:
        number, difference = verdict.fault
        text = f"{recording.source}:{number}: actions BROKEN ({about} before)"
        return [text, *(f"    {each}" for each in difference)]
    lines = [f"{recording.source}: actions held ({about})"]
    if verdict.gap is not None:
        number, missing = verdict.gap
        lines.append(
            f"    line {number}: a gap of {missing} lines or more; nothing is"
            " checked from there on"
        )
    return lines
