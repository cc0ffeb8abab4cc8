"""Search for a connection at other agents on behalf of a balancer.

When many callers reconnect at once, queries from a small entry host to each
agent would fill the host's link, and its callers' packets would be delayed or
dropped. The balancer therefore asks one agent, which asks the others and sends
a single answer for all that do not hold the connection.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheeglade.address import Address
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ConnectionNotHeldBy,
    ForwardSegment,
    Message,
)
from lycheeglade.segment import ConnectionKey

# Answers are collected for ANSWER_TIMEOUT_S seconds at most. The balancer asks
# the agents that have not answered by then again.
ANSWER_TIMEOUT_S = 0.1
MAX_PENDING_SEARCHES = 4096

Send = Callable[[Address, Message], None]


@dataclass(slots=True)
class PendingSearch:
    """Answers of the agents that were asked for one connection.

    Attributes
    ----------
    balancers : set of Address
        Balancers that get the result.
    unanswered : set of Address
        Agents that have not answered.
    denying_agents : list of Address
        Agents that do not hold the connection and were not yet reported.
    """

    started_at: float
    balancers: set[Address] = field(default_factory=set)
    unanswered: set[Address] = field(default_factory=set)
    denying_agents: list[Address] = field(default_factory=list)


class SearchRelay:
    """Searches that an agent runs for balancers.

    Parameters
    ----------
    send : callable
        Sends a message to a balancer or an agent.
    """

    def __init__(self, send: Send):
        self._send = send
        self._searches_by_key: OrderedDict[ConnectionKey, PendingSearch] = OrderedDict()

    def search(self, key: ConnectionKey, message: ForwardSegment, now: float) -> None:
        """Ask the candidates in a balancer's message."""
        search = self._searches_by_key.setdefault(key, PendingSearch(now))
        search.balancers.add(message.balancer)
        search.unanswered.update(message.candidates)
        if len(self._searches_by_key) > MAX_PENDING_SEARCHES:
            self._searches_by_key.popitem(last=False)
        query = ForwardSegment(
            message.balancer,
            message.datagram,
            search=True,
            is_relayed=True,
            services=message.services,
            any_service=message.any_service,
        )
        for agent in message.candidates:
            self._send(agent, query)

    def handle_not_held(self, message: ConnectionNotHeld, source: Address) -> None:
        """Process an agent's answer that it does not hold a connection."""
        search = self._searches_by_key.get(message.key)
        if search is None or source not in search.unanswered:
            return
        search.unanswered.discard(source)
        search.denying_agents.append(source)
        if not search.unanswered:
            self._send_result(message.key, search)

    def tick(self, now: float) -> None:
        """Report the answers to searches older than `ANSWER_TIMEOUT_S`."""
        for key, search in list(self._searches_by_key.items()):
            if now - search.started_at < ANSWER_TIMEOUT_S:
                return
            self._send_result(key, search)

    def _send_result(self, key: ConnectionKey, search: PendingSearch) -> None:
        del self._searches_by_key[key]
        if search.denying_agents:
            for balancer in search.balancers:
                self._send(
                    balancer, ConnectionNotHeldBy(key, tuple(search.denying_agents))
                )
