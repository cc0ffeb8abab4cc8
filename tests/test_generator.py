from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheeglade.address import Zone
from lycheeglade.answers import (
    MAX_COLD_START_S,
    Answers,
    BalancerAnswers,
    Fabric,
    HostAnswers,
    OperatorAddress,
    ServiceAnswers,
    TeamAnswers,
    WorseOutcome,
    format_answers,
    parse_answers,
)
from lycheeglade.checker import check_files
from lycheeglade.contradictions import LONGEST_FEED_RETRY_S, find_contradictions
from lycheeglade.errors import ConfigurationError
from lycheeglade.feed import MAX_RETRY_S, RETRY_JITTER
from lycheeglade.generator import generate_files, generate_texts
from lycheeglade.prompter import QuestionnaireError
from lycheeglade.questionnaire import ask_and_save
from lycheeglade.view import Protocol

DATA = Path(__file__).parent / "data" / "answers"
EXAMPLES = sorted((Path(__file__).parent.parent / "examples").glob("*.ini"))
ZONES = [Zone("viti-west", "nadi-a"), Zone("viti-west", "nadi-b"), Zone("fj", "suva")]
EXPECTED_OUTPUT = (DATA / "first.told").read_text().rstrip("\n")
NAMES = ["booth-sync", "reel-depot", "cues"]


def show_tree(text_by_name):
    return "\n".join(
        f"=== {name}\n{text}" for name, text in sorted(text_by_name.items())
    )


def generate_and_check(answers):
    with TemporaryDirectory() as folder:
        source = Path(folder, "answers.ini")
        source.write_text(format_answers(answers))
        return check_files(generate_files(source, Path(folder, "out")))


def test_small_answers_give_the_expected_tree():
    answers = parse_answers((DATA / "small.ini").read_text(), "small.ini")
    tree = show_tree(generate_texts(answers, "small.ini"))
    assert tree == (DATA / "small.expected").read_text()


def test_all_contradictions_are_told_at_once(tmp_path):
    answers = parse_answers((DATA / "contradictory.ini").read_text(), "it.ini")
    with pytest.raises(ConfigurationError) as caught:
        generate_texts(answers, "it.ini")
    reported = "".join(f"{error}\n" for error in caught.value.exceptions)
    assert reported == (DATA / "contradictory.expected").read_text()


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_generated_and_accepted(path, tmp_path):
    assert len(EXAMPLES) == 2
    assert check_files(generate_files(path, tmp_path)) == []


def test_feeds_outlast_the_longest_retry():
    assert MAX_RETRY_S * (1 + RETRY_JITTER) <= LONGEST_FEED_RETRY_S


def test_questionnaire_asks_again_and_keeps_answers(tmp_path):
    lines = (DATA / "first.dialogue").read_text().splitlines()
    dialogue = [line.split("|") for line in lines]

    def ask(question, default):
        start, answer = dialogue.pop(0)
        assert question.startswith(start)
        return answer or default

    shown = []
    path = tmp_path / "answers.ini"
    ask_and_save(path, ask, shown.append)
    assert dialogue == []
    assert "\n".join(shown).replace(str(path), "it.ini") == EXPECTED_OUTPUT
    assert path.read_text() == (DATA / "first.expected").read_text()
    ask_and_save(path, lambda question, default: default, lambda line: None)
    assert path.read_text() == (DATA / "first.expected").read_text()


TEAM_LINES = 12
DIALOGUE = [
    line.split("|") for line in (DATA / "first.dialogue").read_text().splitlines()
]


@pytest.mark.parametrize("interrupted_at", range(TEAM_LINES, len(DIALOGUE)))
def test_answers_given_before_the_input_ended_are_kept(interrupted_at, tmp_path):
    path = tmp_path / "answers.ini"
    remaining = list(DIALOGUE)
    shown = []

    def answer(question, default):
        if len(DIALOGUE) - len(remaining) == interrupted_at:
            raise QuestionnaireError("end of input")
        return remaining.pop(0)[1] or default

    with pytest.raises(QuestionnaireError):
        ask_and_save(path, answer, shown.append)
    assert shown[-1].startswith(f"Your answers so far are in {path}.")

    def resume(question, default):
        if remaining and question.startswith(remaining[0][0]):
            return remaining.pop(0)[1] or default
        given = [answer for start, answer in DIALOGUE if question.startswith(start)]
        return default or given[-1]

    ask_and_save(path, resume, shown.append)
    assert remaining == []
    assert path.read_text() == (DATA / "first.expected").read_text()


def test_input_that_ends_before_the_team_is_known_writes_nothing(tmp_path):
    path = tmp_path / "answers.ini"
    remaining = list(DIALOGUE[: TEAM_LINES - 1])

    def answer(question, default):
        if not remaining:
            raise QuestionnaireError("end of input")
        return remaining.pop(0)[1] or default

    with pytest.raises(QuestionnaireError):
        ask_and_save(path, answer, lambda line: None)
    assert not path.exists()


def test_more_services_than_addresses_are_asked_for_again(tmp_path):
    text = (DATA / "first.expected").read_text()
    path = tmp_path / "answers.ini"
    path.write_text(text.replace("10.10.0.0/24", "10.10.0.0/30"))
    attempts = ["a, b, c, d, phrasebook", "phrasebook"]
    shown = []

    def answer(question, default):
        return attempts.pop(0) if question.startswith("Which services") else default

    ask_and_save(path, answer, shown.append)
    assert shown[0] == "  network 10.10.0.0/30 has only 1 free addresses"


def test_contradictory_answers_are_saved_and_told(tmp_path):
    path = tmp_path / "answers.ini"
    path.write_text((DATA / "contradictory.ini").read_text())
    shown = []
    with pytest.raises(ConfigurationError, match="contradict each other"):
        ask_and_save(
            path, lambda question, default: default or "wa-south", shown.append
        )
    assert shown[-1].endswith("to be asked with these answers as defaults.")
    assert parse_answers(path.read_text(), "it.ini").team.fabric_notice == 4.0


SECONDS = st.floats(1, 1000, allow_subnormal=False)
PLACES = st.lists(
    st.sampled_from(["viti-west", "fj", "fj/suva", "viti-west/nadi-a", "nowhere"]),
    unique=True,
    max_size=3,
)
IPS = st.integers(1, 40).map(lambda number: f"10.0.0.{number}")


@st.composite
def services(draw, name):
    return ServiceAnswers(
        name=name,
        ip=draw(IPS.map(lambda ip: ip.replace("10.0", "10.9"))),
        places=tuple(draw(PLACES | st.just(["viti-west", "fj"]))),
        feeds=draw(st.integers(0, 4000)),
        port=draw(st.sampled_from([5683, 5684, 443, 7100, 65535])),
        protocol=draw(st.sampled_from(Protocol)),
        slots=draw(st.integers(1, 4)),
        connections=draw(st.integers(1, 4000)),
        longest_request=draw(SECONDS | st.just(1.0)),
        late_after=draw(SECONDS | st.just(1000.0)),
        silence=draw(SECONDS),
        grace=draw(SECONDS | st.just(1000.0)),
        cold_start=draw(st.floats(0, MAX_COLD_START_S)),
        worse=draw(st.sampled_from(WorseOutcome)),
    )


@st.composite
def teams(draw):
    """Draw a team's answers, of which some contradict each other."""
    names = draw(st.lists(st.sampled_from(NAMES), unique=True, min_size=1))
    ips = iter(draw(st.lists(IPS, min_size=8, max_size=8, unique=draw(st.booleans()))))
    zones = st.sampled_from([*ZONES, *ZONES, Zone("fj", "lost")])
    hosts = draw(st.lists(st.sampled_from(names), min_size=1, max_size=4))
    return Answers(
        TeamAnswers(
            "reelbure",
            "http://10.0.1.1",
            "10.0.0.0/24",
            "10.0.0.0/24",
            "10.9.0.0/24",
            draw(st.sampled_from(Fabric)),
            draw(SECONDS | st.just(3.0)),
            draw(st.sampled_from(OperatorAddress)),
        ),
        {"viti-west": ("nadi-a", "nadi-b"), "fj": ("suva",)},
        {name: draw(services(name)) for name in names},
        {
            f"b{number}": BalancerAnswers(f"b{number}", next(ips), draw(zones))
            for number in range(draw(st.integers(0, 3)))
        },
        {
            f"h{number}": HostAnswers(
                f"h{number}",
                next(ips),
                draw(zones),
                tuple(
                    dict.fromkeys(
                        [name, *draw(st.lists(st.sampled_from(names), max_size=1))]
                    )
                ),
                draw(st.floats(0.01, 100)),
            )
            for number, name in enumerate(hosts)
        },
    )


@given(teams())
def test_answers_survive_their_file(answers):
    assert parse_answers(format_answers(answers), "answers.ini") == answers


@given(teams())
def test_check_accepts_whatever_generate_writes(answers):
    if find_contradictions(answers, "answers.ini"):
        with pytest.raises(ConfigurationError):
            generate_and_check(answers)
    else:
        assert generate_and_check(answers) == []


@given(teams(), st.data())
def test_consistent_answers_are_generated(answers, data):
    """Check that answers without contradictions are always accepted."""
    places = ("viti-west", "fj")
    zones = st.sampled_from(ZONES)
    answers = replace(
        answers,
        services_by_name={
            name: replace(
                service,
                ip=f"10.9.0.{number}",
                port=6000 + number,
                places=places,
                feeds=service.connections,
                silence=2000.0,
                late_after=1000.0,
                grace=1000.0,
            )
            for number, (name, service) in enumerate(answers.services_by_name.items())
        },
        balancers_by_name={"b": BalancerAnswers("b", "10.1.0.1", data.draw(zones))},
        hosts_by_name={
            name: HostAnswers(
                name, f"10.2.0.{number}", data.draw(zones), (service,), 1.0
            )
            for number, (name, service) in enumerate(
                (f"h-{service}", service) for service in answers.services_by_name
            )
        },
    )
    assert generate_and_check(answers) == []
