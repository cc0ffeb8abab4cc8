import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheeglade.errors import ConfigurationError
from lycheeglade.value import Value, parse_value

NAME = "hosts/fiji/a"
LINES = [
    "role = agent",
    "role = balancer",
    "zone = fiji/a",
    "zone = fiji/b",
    "packets = 127.1.0.1:1",
    "packets = 127.1.0.2:1",
    "packets = 127.1.0.3:1",
    "control = 127.1.0.1:2",
    " control = 127.1.0.2:2",
    "control = 127.1.0.2:2",
    "state = leaving",
    "[host a]",
    " [host b]",
    "; comment [host c]",
    "",
    "[hosts]",
    "é = 1",
]


def host_section(number, state):
    return (
        f"[host h{number}]\nrole = agent\nzone = fiji/a\nstate = {state}\n"
        f"packets = 127.1.0.{number}:1\ncontrol = 127.1.0.{number}:2\n"
    )


sections = st.builds(
    host_section, st.integers(1, 9), st.sampled_from(["live", "leaving", "gone"])
)
texts = st.lists(
    sections | st.lists(st.sampled_from(LINES), max_size=6).map("\n".join), max_size=8
).map("".join)


def read(value, known):
    try:
        return parse_value(value, known).content
    except ConfigurationError as error:
        return [str(each) for each in error.exceptions]


@given(
    st.lists(st.integers(1, 9), unique=True, min_size=1),
    st.lists(st.tuples(st.integers(0, 8), texts), max_size=2),
)
def test_reading_the_changed_sections_gives_what_reading_all_gives(numbers, edits):
    parts = [host_section(number, "live") for number in numbers]
    known = parse_value(Value(NAME, 1, "\n".join(parts)))
    for place, text in edits:
        parts[place % len(parts)] = text
    value = Value(NAME, 2, "\n".join(parts))
    assert read(value, known) == read(value, None)


@pytest.mark.parametrize(
    ("name", "text", "reason"),
    [
        ("services/b", "[service]\nname = a\ntenant = t\nprotocol = coap\n"
         "addresses = 127.0.0.1:1\nplaces = fiji\n", "'a' is not the name"),
        (NAME, host_section(1, "live").replace("fiji/a", "fiji/b"), "not the zone"),
    ],
)  # fmt: skip
def test_value_declares_what_its_name_says(name, text, reason):
    with pytest.raises(ConfigurationError) as raised:
        parse_value(Value(name, 1, text))
    assert reason in str(raised.value.exceptions[0])
