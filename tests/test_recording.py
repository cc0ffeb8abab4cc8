from dataclasses import replace as replace_fields
from os import environ
from pathlib import Path
from subprocess import run
from sys import executable

import pytest
from msgspec.structs import replace

from lycheeglade import routing
from lycheeglade.cmdline import main
from lycheeglade.packet import Answer
from lycheeglade.recording import (
    Gap,
    NumberedLine,
    Recording,
    Sent,
    ViewChange,
    encode_line,
    parse_recording,
)
from lycheeglade.replay_recording import replay_recording
from lycheeglade.view import Role
from tests.recordings import record_trace

ROOT = Path(__file__).parent.parent
DATA = Path(__file__).parent / "data" / "trace"
EVENING = Path(__file__).parent / "traces" / "reelbure-evening.trace"


@pytest.fixture(scope="module")
def recordings():
    return record_trace(EVENING, is_whole=False)


@pytest.fixture(scope="module")
def whole_recordings():
    return record_trace(EVENING, is_whole=True)


def save(recording, folder):
    path = folder / f"{recording.source}.trace"
    lines = [recording.header, *(numbered.line for numbered in recording.lines)]
    path.write_bytes(b"".join(map(encode_line, lines)))
    return path


def edit(recording, number, **changes):
    """Return a recording with changed fields in one of its lines."""
    lines = tuple(
        NumberedLine(each.number, replace(each.line, **changes))
        if each.number == number
        else each
        for each in recording.lines
    )
    return Recording(recording.source, recording.header, lines)


def is_answer(action):
    return isinstance(action, Sent) and isinstance(action.packet, Answer)


def find(recordings, is_wanted):
    """Return the recording, line and index of the first matching action."""
    for recording in recordings:
        for numbered in recording.lines:
            for index, action in enumerate(numbered.line.did):
                if is_wanted(action):
                    return recording, numbered, index
    raise AssertionError("no recorded action matches the predicate")


@pytest.mark.parametrize("name", ["recordings", "whole_recordings"])
def test_another_process_does_the_same(name, request, tmp_path):
    recorded = request.getfixturevalue(name)
    paths = [save(each, tmp_path) for each in recorded]
    # Another hash seed: actions must not depend on the order of sets.
    variables = {**environ, "PYTHONHASHSEED": "7", "PYTHONPATH": str(ROOT)}
    command = [executable, "-m", "lycheeglade", "replay", *map(str, paths)]
    result = run(command, env=variables, capture_output=True, text=True, timeout=100)
    checked = [
        f"{path}: actions held ({each.header.role} {each.header.host},"
        f" {len(each.lines)} lines checked"
        for path, each in zip(paths, recorded, strict=True)
    ]
    lines = result.stdout.splitlines()
    assert [line.rpartition(" over ")[0] for line in lines] == checked
    assert result.returncode == 0


def test_every_kind_of_action_is_in_what_is_checked(recordings):
    kinds = {
        action.packet.__class__.__name__
        if isinstance(action, Sent)
        else action.__class__.__name__
        for recording in recordings
        for numbered in recording.lines
        for action in numbered.line.did
    }
    assert {"Forward", "Answer", "HandoffCommit", "Delegate", "Probe"} <= kinds
    assert {"Answered", "SentUpstream", "Counted", "Timed"} <= kinds


def test_changed_action_is_caught_at_its_line(recordings, tmp_path, capsys):
    recording, numbered, index = find(recordings, is_answer)
    path = save(recording, tmp_path)
    lines = path.read_text().splitlines()
    port = numbered.line.did[index].packet.caller_port
    changed = lines[numbered.number - 1].replace(f",{port},", f",{port + 1},")
    assert changed != lines[numbered.number - 1]
    lines[numbered.number - 1] = changed
    path.write_text("\n".join(lines))
    assert main(["replay", str(path)]) == 1
    first, recorded, replayed = capsys.readouterr().out.splitlines()
    assert first.startswith(f"{path}:{numbered.number}: actions BROKEN (agent ")
    assert recorded.startswith(f'    did[{index}] recorded: ["send",')
    assert f",{port + 1}," in recorded
    assert f",{port}," in replayed


def test_changed_payload_is_caught_in_a_redacted_recording(recordings):
    recording, numbered, index = find(
        recordings,
        lambda action: is_answer(action) and b"\xff" in action.packet.payload,
    )
    did = list(numbered.line.did)
    packet = did[index].packet
    payload = packet.payload[:-1] + bytes([packet.payload[-1] ^ 1])
    did[index] = replace(did[index], packet=replace(packet, payload=payload))
    changed = edit(recording, numbered.number, did=tuple(did))
    assert replay_recording(changed).fault[0] == numbered.number


def test_line_without_actions_is_not_checked(recordings):
    recording, numbered, _ = find(recordings, is_answer)
    unchecked = edit(recording, numbered.number, did=None)
    verdict = replay_recording(unchecked)
    assert verdict.fault is None
    assert verdict.checked == len(recording.lines) - 1


def test_lost_input_is_caught_at_a_later_line(recordings):
    recording, numbered, _ = find(recordings, is_answer)
    lines = tuple(each for each in recording.lines if each is not numbered)
    verdict = replay_recording(Recording("t", recording.header, lines))
    assert verdict.fault is not None
    assert verdict.fault[0] > numbered.number


def rank_by_order(monkeypatch):
    def prepare(service):
        targets = routing.eligible_targets(service)
        entries = tuple(
            (item.target_id.encode(), -1.0 / (1 + index))
            for index, item in enumerate(targets)
        )
        return routing._RankingInputs(targets, entries)

    monkeypatch.setattr(routing, "_prepare_ranking", prepare)


def test_other_decision_is_caught(recordings, monkeypatch):
    balancers = [each for each in recordings if each.header.role is Role.BALANCER]
    assert all(replay_recording(each).fault is None for each in balancers)
    rank_by_order(monkeypatch)
    faults = [replay_recording(each).fault for each in balancers]
    texts = [fault[1][0] for fault in faults if fault is not None]
    assert texts
    assert all('recorded: ["send",' in text for text in texts)


def test_other_view_is_caught(recordings):
    recording, numbered = next(
        (recording, numbered)
        for recording in recordings
        for numbered in recording.lines
        if isinstance(numbered.line, ViewChange)
        and numbered.line.services
        and recording.header.role is Role.BALANCER
    )
    services = tuple(
        replace_fields(service, places=("elsewhere",))
        for service in numbered.line.services
    )
    verdict = replay_recording(edit(recording, numbered.number, services=services))
    assert 'replayed: ["count","dropped",' in verdict.fault[1][1]


def test_nothing_is_checked_after_a_gap(recordings, tmp_path, capsys):
    recording, numbered, _ = find(recordings, is_answer)
    at = numbered.line.at
    cut = [each for each in recording.lines if each.number < numbered.number]
    gap = NumberedLine(numbered.number, Gap(at=at, lines=3))
    later = [each for each in recording.lines if each.number > numbered.number]
    with_gap = Recording("parted", recording.header, (*cut, gap, *later))
    path = save(with_gap, tmp_path)
    assert main(["replay", str(path)]) == 0
    first, second = capsys.readouterr().out.splitlines()
    assert f"{len(cut)} lines checked over" in first
    assert f"line {numbered.number}: a gap of 3 lines or more" in second


@pytest.mark.parametrize("is_resumed", [False, True])
def test_line_that_was_cut_is_a_gap(recordings, is_resumed):
    recording = recordings[0]
    header = encode_line(recording.header).decode()
    lines = [encode_line(each.line).decode() for each in recording.lines[:30]]
    text = header + "".join(lines[:20]) + lines[20][:-9]
    if is_resumed:
        text += "\n" + header + "".join(lines[21:])
    cut = parse_recording(text, "cut.trace")
    verdict = replay_recording(cut)
    assert (verdict.checked, verdict.gap) == (20, (22, 1))
    with pytest.raises(ExceptionGroup):
        parse_recording(text.replace("}\n", "\n", 2), "broken.trace")


def test_errors_name_line_and_field():
    text = (DATA / "wrong-recording.trace").read_text()
    with pytest.raises(ExceptionGroup) as caught:
        parse_recording(text, "wrong-recording.trace")
    lines = [str(error) for error in caught.value.exceptions]
    expected = (DATA / "wrong-recording.expected").read_text().splitlines()
    assert lines == expected
