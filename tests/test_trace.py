from pathlib import Path

import pytest

from lycheeglade.trace import parse_trace

DATA = Path(__file__).parent / "data" / "trace"


def test_errors_name_line_and_field():
    text = (DATA / "wrong.trace").read_text()
    with pytest.raises(ExceptionGroup) as caught:
        parse_trace(text, "wrong.trace")
    lines = [str(error) for error in caught.value.exceptions]
    assert lines == (DATA / "wrong.expected").read_text().splitlines()


def test_comments_and_empty_lines_are_skipped():
    trace = parse_trace(
        '# a comment\n\n{"at": 1, "kind": "kill", "process": "b"}\n', "t"
    )
    assert [line.number for line in trace.lines] == [3]
