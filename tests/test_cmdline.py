from io import StringIO
from pathlib import Path

import pytest

from lycheeglade.cmdline import EXIT_FAILURE, EXIT_USAGE, build_application, main

DATA = Path(__file__).parent / "data" / "answers"
NAMES = [
    name
    for name in build_application().all()
    if name not in ("help", "list", "completions")
]


@pytest.mark.parametrize("name", NAMES)
def test_help_shows_an_example_and_the_exit_codes(name, capsys):
    assert main([name, "--help"]) == 0
    text = capsys.readouterr().out
    assert f"lycheeglade {name} " in text
    assert "Exit codes: 0 " in text
    assert "--quiet" in text


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["status", "nowhere"], "address: 'nowhere' is not IP:PORT"),
        (["status"], 'Not enough arguments (missing: "address")'),
        (["statsu"], 'The command "statsu" does not exist. Did you mean this? status'),
        (["status", "--jsn", "127.0.0.1:9"], 'The option "--jsn" does not exist'),
        (
            ["agent", "-c", "a.ini", "--trace", "nowhere"],
            "--trace: 'nowhere' is not IP:PORT",
        ),
        (
            ["agent", "-c", "a.ini", "--trace-payloads"],
            "--trace-payloads: requires --trace",
        ),
    ],
)
def test_wrong_usage_is_told_in_one_line(arguments, message, capsys):
    assert main(arguments) == EXIT_USAGE
    assert capsys.readouterr().err == f"{message}\n"


def test_unreachable_process_is_told_in_one_line(capsys):
    assert main(["status", "127.0.0.1:9"]) == EXIT_FAILURE
    assert capsys.readouterr().err.startswith("cannot fetch status from 127.0.0.1:9: ")


def test_generate_check_and_contradictions(tmp_path, capsys):
    out = tmp_path / "out"
    assert main(["generate", str(DATA / "small.ini"), "-o", str(out)]) == 0
    written = capsys.readouterr().out.splitlines()
    assert len(written) == 8
    assert main(["check", *written]) == 0
    assert main(["check", str(out), str(DATA / "small.ini")]) == 0
    assert main(["generate", "-q", str(DATA / "small.ini"), "-o", str(out)]) == 0
    assert capsys.readouterr() == ("", "")
    bad = str(DATA / "contradictory.ini")
    assert main(["generate", bad, "-o", str(tmp_path / "none")]) == EXIT_FAILURE
    reported = capsys.readouterr().err.replace(bad, "it.ini")
    assert reported == (DATA / "contradictory.expected").read_text()
    assert not (tmp_path / "none").exists()
    assert main(["check", bad]) == EXIT_FAILURE
    assert capsys.readouterr().err.replace(bad, "it.ini") == reported


@pytest.mark.parametrize("command", ["balancer", "agent"])
def test_daemon_without_readable_settings_tells_why(command, capsys):
    assert main([command, "-c", "/nonexistent.ini"]) == EXIT_FAILURE
    message = "/nonexistent.ini: [-] file: No such file or directory\n"
    assert capsys.readouterr().err == message
    assert main([command]) == EXIT_USAGE
    assert capsys.readouterr().err == "--config is required\n"


def test_questionnaire_reads_lines_and_tells_when_they_end(
    tmp_path, capsys, monkeypatch
):
    path = tmp_path / "answers.ini"
    lines = [
        f"{line.split('|')[1]}\n"
        for line in (DATA / "first.dialogue").read_text().splitlines()
    ]
    monkeypatch.setattr("lycheeglade.prompter.stdin", StringIO("".join(lines)))
    assert main(["questionnaire", "-o", str(path)]) == 0
    assert path.read_text() == (DATA / "first.expected").read_text()
    assert main(["questionnaire", "-n", "-o", str(path)]) == 0
    assert path.read_text() == (DATA / "first.expected").read_text()
    monkeypatch.setattr("lycheeglade.prompter.stdin", StringIO(lines[0]))
    capsys.readouterr()
    other = tmp_path / "other.ini"
    assert main(["questionnaire", "-o", str(other)]) == EXIT_FAILURE
    assert capsys.readouterr().err.startswith("input ended at question: At which URL")
    assert not other.exists()


def test_explain_and_diff_tell_what_a_change_does(tmp_path, capsys):
    old, new = tmp_path / "old", tmp_path / "new"
    for folder in (old, new):
        assert main(["generate", "-q", str(DATA / "small.ini"), "-o", str(folder)]) == 0
    value = new / "services" / "booth-sync.ini"
    value.write_text(value.read_text().replace("state = live", "state = leaving", 1))
    explain = ["--service", "booth-sync", "--flow", "127.0.0.9:4000"]
    assert main(["explain", "-c", str(value), *explain]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert any(line.startswith("1. nadi-b-1 ") for line in lines)
    assert any(line.startswith("not nadi-a-1 ") for line in lines)
    assert main(["diff", str(old), str(new)]) == 0
    assert "target nadi-a-1 takes no new flows any more" in capsys.readouterr().out
    assert main(["diff", str(old), str(old)]) == 0
    assert capsys.readouterr().out == "nothing changes\n"
    explain[1] = "booth-snc"
    assert main(["explain", "-c", str(old), *explain]) == EXIT_FAILURE
    message = "no service 'booth-snc'; did you mean 'booth-sync'?\n"
    assert capsys.readouterr().err == message
