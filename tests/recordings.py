"""Records processes that run in virtual time."""

from lycheeglade.recorder import Recorder
from lycheeglade.recording import FORMAT, Header, encode_line, parse_recording
from lycheeglade.replay import run_trace
from lycheeglade.replay_process import MAX_AGENT_FLOWS
from lycheeglade.trace import load_trace


def make_header(host, seed, now, *, is_whole):
    return Header(
        at=now,
        format=FORMAT,
        version="0.1.0",
        role=host.role,
        host=host.host_id,
        zone=host.zone,
        packets=host.packets,
        max_flows=MAX_AGENT_FLOWS,
        seed=f"{seed:x}",
        is_whole=is_whole,
    )


def record_trace(path, *, is_whole):
    """Replay a trace; return one recording for each start of a process."""
    texts = []

    def record(host, seed, now):
        lines = [encode_line(make_header(host, seed, now, is_whole=is_whole))]
        texts.append(lines)
        return Recorder(lambda line, now: lines.append(line), is_whole=is_whole)

    run_trace(load_trace(path), record=record)
    return [
        parse_recording(b"".join(lines).decode(), f"recording-{number}")
        for number, lines in enumerate(texts)
    ]
