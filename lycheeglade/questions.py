"""Questions for a team about itself and about each of its services."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TypeVar

from lycheeglade.answers import (
    MAX_COLD_START_S,
    MAX_FABRIC_NOTICE_S,
    MAX_FEEDS,
    Fabric,
    OperatorAddress,
    ServiceAnswers,
    TeamAnswers,
    WorseOutcome,
    parse_network,
)
from lycheeglade.configuration import (
    MAX_CONNECTIONS,
    MAX_SECONDS,
    MAX_SLOTS,
    parse_place,
)
from lycheeglade.options import parse_name
from lycheeglade.prompter import Prompter, list_of, number_in, one_of
from lycheeglade.settings import MAX_GRACE_S, parse_url
from lycheeglade.view import Protocol

Fields = TypeVar("Fields", TeamAnswers, ServiceAnswers)
Question = tuple[str, str, Callable[[str], object]]

_SECONDS = number_in(float, 0.1, MAX_SECONDS)
# Each entry: the field of the answers, the question, the parser of the answer.
TEAM_QUESTIONS: tuple[Question, ...] = (
    ("name", "What is your team called?", parse_name),
    (
        "platform",
        "At which URL is the platform's configuration service read?",
        parse_url,
    ),
    (
        "balancers",
        "From which network do your entry hosts get their IPs?",
        parse_network,
    ),
    (
        "upstreams",
        "From which network do the hosts of your upstreams get their IPs?",
        parse_network,
    ),
    (
        "services",
        "From which network do your services get the IPs that callers use?",
        parse_network,
    ),
    (
        "fabric",
        "When the fabric hands a packet to an entry host, does the packet "
        "carry the service's address (service-address) or the address of "
        "the entry host (balancer-address)?",
        one_of(Fabric),
    ),
    (
        "fabric_notice",
        "For how many seconds does the fabric still hand packets to an "
        "entry host that has died?",
        number_in(float, 0, MAX_FABRIC_NOTICE_S),
    ),
    (
        "operators",
        "Is the state of a process read on its host only (loopback), or "
        "over the network of the hosts (host-address)?",
        one_of(OperatorAddress),
    ),
)
SERVICE_QUESTIONS: tuple[Question, ...] = (
    (
        "places",
        "where may its traffic be handled (regions, or REGION/ZONE)?",
        list_of(parse_place),
    ),
    (
        "protocol",
        "do callers speak CoAP (coap), or is each datagram to be passed "
        "on unread (datagram)?",
        one_of(Protocol),
    ),
    (
        "feeds",
        "how many callers hold a feed or stream at the busiest moment?",
        number_in(int, 0, MAX_FEEDS),
    ),
    (
        "slots",
        "how many requests does one upstream work on at once?",
        number_in(int, 1, MAX_SLOTS),
    ),
    (
        "connections",
        "how many callers can one upstream hold at once?",
        number_in(int, 1, MAX_CONNECTIONS),
    ),
    (
        "longest_request",
        "how many seconds does the longest request take?",
        _SECONDS,
    ),
    (
        "late_after",
        "after how many seconds is an answer of no use any more?",
        _SECONDS,
    ),
    (
        "silence",
        "within how many seconds must a caller know that its feed is dead?",
        number_in(float, 1, MAX_SECONDS),
    ),
    (
        "grace",
        "how many seconds does an upstream that leaves get to finish?",
        number_in(float, 0, MAX_GRACE_S),
    ),
    (
        "cold_start",
        "how many seconds after its start is an upstream at full speed?",
        number_in(float, 0, MAX_COLD_START_S),
    ),
    (
        "worse",
        "what is worse for you, flows that break (broken-flows) or some "
        "upstreams with too much work (imbalance)?",
        one_of(WorseOutcome),
    ),
)


def ask_fields(
    prompter: Prompter,
    known: Fields,
    questions: Iterable[Question],
    prefix: str = "",
    save: Callable[[Fields], None] | None = None,
) -> Fields:
    """Ask for fields of `known`; their current values are the defaults.

    `save` is called after each answer, with the updated fields.
    """
    for name, question, parse in questions:
        default = getattr(known, name)
        if isinstance(default, tuple):
            default = ", ".join(default)
        answer = prompter.ask_for(prefix + question, default, parse)
        known = replace(known, **{name: answer})
        if save is not None:
            save(known)
    return known
