from collections import Counter
from logging import INFO, makeLogRecord
from os import close, pipe, read

import pytest

from lycheeglade import connection_daemon
from lycheeglade.connection_daemon import LOG_LINES_PER_S, EventLog
from lycheeglade.logs import EventFormatter, PipeHandler


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(connection_daemon, "monotonic", lambda: now[0])
    return now


@pytest.fixture
def lines(caplog):
    caplog.set_level(INFO, logger="lycheeglade")

    def get_lines(event):
        return [
            record.event_fields
            for record in caplog.records
            if record.getMessage() == event
        ]

    return get_lines


def test_one_kind_of_event_does_not_use_up_the_lines_of_the_others(clock, lines):
    log = EventLog()
    for _ in range(LOG_LINES_PER_S + 7):
        log("refused", cause="no-route")
    log("reset", cause="agent-lost")
    assert len(lines("refused")) == LOG_LINES_PER_S
    assert len(lines("reset")) == 1
    clock[0] += 1.0
    log("started")
    assert lines("log-bounded") == [{"kind": "refused", "left_out": 7}]
    total = LOG_LINES_PER_S + 7
    expected = f'{{event="refused",cause="no-route"}} {total}'
    assert expected in log.format()


def test_line_that_stands_for_several_events_counts_them(clock, lines):
    log = EventLog()
    log("refused", source="100.64.0.7", cause="no-route", count=632)
    assert lines("refused")[0]["count"] == 632
    assert 'cause="no-route"} 632' in log.format()


def test_lines_that_could_not_be_written_are_counted_by_kind(clock, lines):
    lost = Counter(placed=3)
    log = EventLog(lost_by_event=lost)
    log("started")
    assert lines("log-bounded") == [{"kind": "placed", "left_out": 3}]
    assert not lost


def test_gauge_shows_its_latest_value():
    log = EventLog()
    assert "evacuated_zones" not in log.format()
    log.set_gauge("evacuated_zones", 2)
    log.set_gauge("evacuated_zones", 0)
    assert "\nlycheeglade_evacuated_zones 0\n" in "\n" + log.format()


def make_record(event):
    return makeLogRecord({"msg": "%s", "args": (event,), "event_fields": {}})


def test_log_with_a_closed_or_full_pipe_counts_and_goes_on():
    read_end, write_end = pipe()
    handler = PipeHandler(write_end)
    handler.setFormatter(EventFormatter())
    for _ in range(2000):
        handler.emit(make_record("placed"))
    lost = handler.lost_by_event["placed"]
    assert 0 < lost < 2000
    assert read(read_end, 1 << 20).endswith(b"event=placed\n")
    handler.emit(make_record("placed"))
    assert handler.lost_by_event["placed"] == lost
    close(read_end)
    handler.emit(make_record("reset"))
    assert handler.lost_by_event["reset"] == 1
    close(write_end)


def test_line_that_cannot_be_encoded_or_formatted_fails_no_event():
    """It names what another writer wrote, such as the key of an entry."""

    class Unprintable:
        def __str__(self):
            raise RecursionError

    read_end, write_end = pipe()
    handler = PipeHandler(write_end)
    handler.setFormatter(EventFormatter())
    for value in ("servers/\ud800", Unprintable()):
        record = make_record("unreadable")
        record.event_fields = {"key": value}
        handler.emit(record)
    assert b"key=servers/\\ud800\n" in read(read_end, 1 << 16)
    assert handler.lost_by_event == {"unreadable": 1}
    close(read_end)
    close(write_end)
