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
from lycheeglade.relay_message import Carry, Message, NotHere, NotThere
from lycheeglade.segment import ConnectionKey

# Answers are collected for ANSWER_S seconds at most. The balancer asks the
# agents that have not answered by then again.
ANSWER_S = 0.1
MAX_COLLECTIONS = 4096

Send = Callable[[Address, Message], None]


@dataclass(slots=True)
class Collection:
    """Answers of the agents that were asked for one connection.

    Attributes
    ----------
    balancers : set of Address
        Balancers that get the result.
    waiting : set of Address
        Agents that have not answered.
    denied : list of Address
        Agents that do not hold the connection and were not yet reported.
    """

    began_at: float
    balancers: set[Address] = field(default_factory=set)
    waiting: set[Address] = field(default_factory=set)
    denied: list[Address] = field(default_factory=list)


class SearchRelay:
    """Searches that an agent runs for balancers.

    Parameters
    ----------
    send : callable
        Sends a message to a balancer or an agent.
    """

    def __init__(self, send: Send):
        self._send = send
        self._collections_by_key: OrderedDict[ConnectionKey, Collection] = OrderedDict()

    def search(self, key: ConnectionKey, message: Carry, now: float) -> None:
        """Ask the candidates in a balancer's message."""
        collection = self._collections_by_key.setdefault(key, Collection(now))
        collection.balancers.add(message.balancer)
        collection.waiting.update(message.candidates)
        if len(self._collections_by_key) > MAX_COLLECTIONS:
            self._collections_by_key.popitem(last=False)
        question = Carry(
            message.balancer, message.datagram, search=True, is_relayed=True
        )
        for agent in message.candidates:
            self._send(agent, question)

    def note_not_here(self, message: NotHere, source: Address) -> None:
        """Process an agent's answer that it does not hold a connection."""
        collection = self._collections_by_key.get(message.key)
        if collection is None or source not in collection.waiting:
            return
        collection.waiting.discard(source)
        collection.denied.append(source)
        if not collection.waiting:
            self._tell(message.key, collection)

    def tick(self, now: float) -> None:
        """Report the answers so far of searches that exceed `ANSWER_S`."""
        for key, collection in list(self._collections_by_key.items()):
            if now - collection.began_at < ANSWER_S:
                return
            self._tell(key, collection)

    def _tell(self, key: ConnectionKey, collection: Collection) -> None:
        del self._collections_by_key[key]
        if collection.denied:
            for balancer in collection.balancers:
                self._send(balancer, NotThere(key, tuple(collection.denied)))
