"""Records and replays inputs that don't occur in a healthy system."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheeglade import agent as agent_core
from lycheeglade.agent import make_agent
from lycheeglade.balancer import BalancerActions, make_balancer
from lycheeglade.flow import FlowKey
from lycheeglade.packet import Delegate, Forward, encode_packet
from lycheeglade.recorder import Recorder as TraceRecorder
from lycheeglade.recorder import agent_inputs, balancer_inputs
from lycheeglade.recording import encode_line, parse_recording
from lycheeglade.replay_process import MAX_AGENT_FLOWS
from lycheeglade.replay_recording import replay_recording
from lycheeglade.view import Protocol, View
from lycheeglade.view_change import apply_change, describe_change
from tests.agents import (
    BALANCER,
    LOCAL_ZONE,
    TARGET_KEY,
    ActionRecorder,
    make_get_request,
    make_view,
)
from tests.recordings import make_header
from tests.test_fuzz import CALLER, NAME, PACKETS

SEED = 5
ROUNDS = 2000


class RecordedCore:
    """Inputs of a core with a recorder, and the lines it wrote."""

    def __init__(self, host_id, *, is_whole):
        host = make_view().hosts_by_id[host_id]
        self.lines = [encode_line(make_header(host, SEED, 0.0, is_whole=is_whole))]
        self.effects = ActionRecorder()
        recorder = TraceRecorder(
            lambda line, now: self.lines.append(line), is_whole=is_whole
        )
        generator = Random(SEED)
        if host_id == "h1":
            actions = recorder.agent_actions(self.effects.actions())
            core = make_agent(
                host_id, LOCAL_ZONE, actions, generator, MAX_AGENT_FLOWS, 0.0
            )
            self.inputs = recorder.agent_inputs(agent_inputs(core))
        else:
            actions = BalancerActions(
                lambda address, datagram: None,
                lambda service, caller, datagram: None,
                self.effects.count,
            )
            core = make_balancer(
                host_id,
                LOCAL_ZONE,
                host.packets,
                recorder.balancer_actions(actions),
                generator,
            )
            self.inputs = recorder.balancer_inputs(balancer_inputs(core))

    def replay(self):
        text = b"".join(self.lines).decode()
        recording = parse_recording(text, "recorded")
        verdict = replay_recording(recording)
        assert verdict.fault is None
        assert verdict.checked == len(self.lines) - 1
        return recording


def with_protocol(view, protocol):
    service = replace(view.services_by_name["booth-sync"], protocol=protocol)
    return replace(view, services_by_name={"booth-sync": service})


@pytest.mark.parametrize("is_whole", [False, True])
@pytest.mark.parametrize("protocol", Protocol)
def test_any_packet_of_a_peer(protocol, is_whole):
    recorded = RecordedCore("h1", is_whole=is_whole)
    inputs = recorded.inputs
    inputs.update_view(with_protocol(make_view(), protocol), 0.0)
    inputs.tick(True, 0.0)
    generator = Random(3)
    datagrams = [encode_packet(packet) for packet in PACKETS]
    for number in range(ROUNDS):
        datagram = bytearray(generator.choice(datagrams))
        for _ in range(generator.randrange(3)):
            datagram[generator.randrange(len(datagram))] = generator.randrange(256)
        inputs.receive_datagram(bytes(datagram), BALANCER, number * 0.005)
        inputs.tick(True, number * 0.005)
    recorded.replay()
    assert recorded.effects.counts["malformed", "encoding"] > 0


@pytest.mark.parametrize("busy", [float("nan"), float("inf")])
def test_number_that_json_lacks(busy):
    recorded = RecordedCore("h1", is_whole=False)
    recorded.inputs.update_view(make_view(), 0.0)
    packet = Delegate(*NAME, "t2", 1, 0, busy, True, make_get_request())
    recorded.inputs.receive_datagram(encode_packet(packet), BALANCER, 1.0)
    recorded.replay()
    assert ("malformed", "encoding") not in recorded.effects.counts


def test_pause_dead_upstream_flow_sockets_and_stop():
    recorded = RecordedCore("h1", is_whole=False)
    inputs = recorded.inputs
    inputs.update_view(with_protocol(make_view(), Protocol.DATAGRAM), 0.0)
    inputs.tick(True, 0.0)
    forward = Forward(*NAME, 1, *CALLER, ("t1",), 0, *BALANCER, b"carried unread")
    inputs.receive_datagram(encode_packet(forward), BALANCER, 0.1)
    flow = FlowKey("booth-sync", *CALLER)
    inputs.receive_from_upstream(TARGET_KEY, flow, b"and answered", 0.2)
    inputs.receive_upstream_failure(TARGET_KEY, 0.3)
    inputs.receive_datagram(encode_packet(forward), BALANCER, 10.0)
    inputs.tick(False, 10.1)
    inputs.tick(True, 10.2)
    for second in range(11, 100):
        inputs.tick(True, second)
    inputs.begin_stop(100.0)
    recording = recorded.replay()
    text = b"".join(recorded.lines).decode()
    for part in ('["close",', '"port-closed"', '"fresh":false', '"kind":"stop"'):
        assert part in text
    by_time = {each.line.at: each.line for each in recording.lines}
    assert by_time[10.0].did == ()
    assert any(
        action.__class__.__name__ == "SentUpstream" for action in by_time[10.2].did
    )


def test_overload_of_a_balancer():
    recorded = RecordedCore("b1", is_whole=False)
    inputs = recorded.inputs
    inputs.update_view(make_view(), 0.0)
    inputs.receive_datagram(b"", BALANCER, 0.0)
    inputs.receive_datagram(b"\x01", ("127.9.9.9", 1), 0.0)
    for number in range(10):
        inputs.record_batch(128, False, number * 0.1)
        caller = ("127.9.0.1", 4000 + number, 0, 0)
        inputs.receive_from_caller(
            "booth-sync", caller, make_get_request(), number * 0.1
        )
        inputs.receive_from_caller("no such service", caller, b"x", number * 0.1)
        inputs.tick(number * 0.1)
    recorded.replay()
    assert recorded.effects.counts["refused", "overload"] > 0
    assert b'["answer","booth-sync"' in b"".join(recorded.lines)


def test_error_in_a_core_is_recorded_and_passed_on(monkeypatch):
    def fail(agent, served, now):
        agent.actions.count("drain", served.service.name, "failed")
        raise KeyError("no such flow")

    recorded = RecordedCore("h1", is_whole=False)
    recorded.inputs.update_view(make_view(), 0.0)
    with monkeypatch.context() as patch:
        patch.setattr(agent_core, "start_drain", fail)
        with pytest.raises(KeyError):
            recorded.inputs.begin_stop(1.0)
        line = recorded.replay().lines[-1].line
    assert (len(line.did), line.raised) == (1, "KeyError")
    fixed = parse_recording(b"".join(recorded.lines).decode(), "recorded")
    assert replay_recording(fixed).fault[0] == len(recorded.lines)


names = st.sampled_from(["alpha", "beta", "gamma", "delta"])


@given(st.lists(st.lists(names, unique=True), max_size=6))
def test_views_follow_from_their_changes(orders):
    service = make_view().services_by_name["booth-sync"]
    previous, rebuilt = View(), View()
    for revision, order in enumerate(orders, 1):
        services = {name: previous.services_by_name.get(name) for name in order}
        for name in order:
            if services[name] is None or revision % 2:
                services[name] = replace(service, name=name, revision=revision)
        view = View(revision, services, make_view().hosts_by_id)
        rebuilt = apply_change(rebuilt, describe_change(previous, view, 1.0))
        previous = view
        assert rebuilt == view
        assert list(rebuilt.services_by_name) == order
