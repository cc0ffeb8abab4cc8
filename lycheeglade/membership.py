"""Failure detection of peers from the traffic of this process.

A peer is suspected when packets and pings to it stay unanswered while other
peers answer. Missing answers that this process may have caused itself make no
suspects: those after a pause of the process, or during a network partition
that separates it from all of its peers.
"""

from collections.abc import Collection, Hashable, Set
from dataclasses import dataclass
from random import Random

from lycheeglade.view import Service

ANSWER_TIMEOUT = 0.5  # seconds without an answer before the first ping
PING_INTERVAL = 0.3  # seconds between pings to a peer that isn't suspected yet
SUSPECT_PING_INTERVAL = 2.0  # seconds between pings to a suspect
MIN_PINGS = 2  # unanswered pings before a peer is suspected
PING_TIMEOUT = 0.3  # seconds to wait for an answer after ping MIN_PINGS
PAUSE_THRESHOLD = 2.0  # seconds between two calls that show a pause of this process
WITNESSES = 3  # idle peers that are pinged when no peer answers
CONFIRM_AFTER = 10.0  # seconds until a suspect is confirmed, see `confirmed_suspects`
FLAP_EXPIRY = 60.0  # seconds after which earlier suspicions of a peer expire
MAX_HOLD_DOWN = 30.0  # upper bound of the seconds that a flapping peer must answer
MAX_PEERS = 100_000
PINGS_PER_SECOND = 200
MAX_PING_BURST = 400


@dataclass(slots=True)
class _Peer:
    """Detection state of one peer.

    Attributes
    ----------
    waiting_since : float or None
        Time of the oldest unanswered packet.
    pings : int
        Number of pings since `waiting_since`.
    deadline : float
        Time after which the peer may be suspected; set by ping `MIN_PINGS`.
    suspected_since, answering_since : float or None
        Start of the suspicion, and time since which the suspect answers again.
    flaps : int
        Number of suspicions, each at most `FLAP_EXPIRY` seconds after the one
        before.
    """

    waiting_since: float | None = None
    pings: int = 0
    deadline: float = 0.0
    next_ping: float = 0.0
    suspected_since: float | None = None
    answering_since: float | None = None
    flaps: int = 0
    last_flap: float = 0.0


class Membership:
    """Peers that this process sends to, and the suspects among them.

    `collect_pings` and `suspects` must be called a few times a second, since
    more than `PAUSE_THRESHOLD` seconds between calls count as a pause of the
    process.

    Parameters
    ----------
    generator : random.Random
        Seeded generator for the jitter of pings and the choice of witnesses.
    """

    def __init__(self, generator: Random):
        self._generator = generator
        self._peers: dict[Hashable, _Peer] = {}
        self._waiting: dict[Hashable, _Peer] = {}
        self._suspected: dict[Hashable, _Peer] = {}
        self._answered_at = float("-inf")
        self._called_at: float | None = None
        self._next_witnesses_at = float("-inf")
        self._ping_budget = float(MAX_PING_BURST)

    def record_sent(self, peer: Hashable, now: float) -> None:
        """Record that a packet was sent to `peer`.

        A peer beyond the first `MAX_PEERS` isn't recorded and never suspected.
        """
        self._record_call(now)
        record = self._peers.get(peer)
        if record is None:
            if len(self._peers) >= MAX_PEERS:
                return
            record = self._peers[peer] = _Peer()
        if record.waiting_since is None:
            self._start_wait(peer, record, now, ANSWER_TIMEOUT)

    def record_received(
        self, peer: Hashable, now: float, *, answers: bool = True
    ) -> None:
        """Record that a packet was received from `peer`.

        Parameters
        ----------
        answers : bool
            Whether the packet shows that `peer` has received a packet of this
            process. A peer whose own requests arrive may still receive nothing
            from this process.
        """
        self._record_call(now)
        record = self._peers.get(peer)
        if record is None:
            return
        if not answers:
            if record.suspected_since is not None:
                record.next_ping = min(record.next_ping, now)
            return
        self._answered_at = now
        record.pings = 0
        if record.suspected_since is None:
            record.waiting_since = None
            self._waiting.pop(peer, None)
            return
        self._handle_suspect_answer(peer, record, now)

    def set_peers(self, peers: Collection[Hashable]) -> None:
        """Replace the set of peers and discard the state of all others."""
        watched = frozenset(peers)
        self.forget(set(self._peers).difference(watched))
        # Sorted, since the iteration order of a set differs between processes.
        for peer in sorted(watched.difference(self._peers)):
            self._peers[peer] = _Peer()

    def forget(self, peers: Collection[Hashable]) -> None:
        """Discard the state of `peers`."""
        for peer in peers:
            self._peers.pop(peer, None)
            self._waiting.pop(peer, None)
            self._suspected.pop(peer, None)

    def collect_pings(self, now: float) -> list[Hashable]:
        """Return the peers to ping now, the most overdue ones first.

        Suspects come after all other peers, and the number of peers is bounded
        by `PINGS_PER_SECOND`.
        """
        self._record_call(now)
        due = [item for item in self._waiting.items() if item[1].next_ping <= now]
        if due:
            due += self._choose_witnesses(now)
        due.sort(
            key=lambda item: (item[1].suspected_since is not None, item[1].next_ping)
        )
        del due[int(self._ping_budget) :]
        self._ping_budget -= len(due)
        for _, record in due:
            self._record_ping(record, now)
        return [peer for peer, _ in due]

    def suspects(self, now: float) -> frozenset[Hashable]:
        """Return the peers that don't answer while other peers do."""
        self._record_call(now)
        for peer, record in list(self._waiting.items()):
            if self._is_overdue(record, now):
                self._suspect(peer, record, now)
        return frozenset(self._suspected)

    def confirmed_suspects(self, now: float) -> frozenset[Hashable]:
        """Return the suspects of at least `CONFIRM_AFTER` seconds."""
        return frozenset(
            peer
            for peer, record in self._suspected.items()
            if now - record.suspected_since >= CONFIRM_AFTER
        )

    def _record_call(self, now):
        if self._called_at is not None:
            elapsed = now - self._called_at
            if elapsed > PAUSE_THRESHOLD:
                self._reset_waits(now)
            self._ping_budget = min(
                MAX_PING_BURST, self._ping_budget + elapsed * PINGS_PER_SECOND
            )
        self._called_at = now

    def _reset_waits(self, now):
        """Clear all suspicions and restart all waits after a pause."""
        self._suspected.clear()
        for peer, record in list(self._waiting.items()):
            record.suspected_since = None
            record.answering_since = None
            self._start_wait(peer, record, now, ANSWER_TIMEOUT)

    def _start_wait(self, peer, record, now, delay):
        record.waiting_since = now
        record.pings = 0
        record.next_ping = now + delay
        self._waiting[peer] = record

    def _record_ping(self, record, now):
        record.pings += 1
        if record.pings == MIN_PINGS:
            record.deadline = now + PING_TIMEOUT
        interval = PING_INTERVAL
        if record.suspected_since is not None and record.answering_since is None:
            interval = SUSPECT_PING_INTERVAL
        record.next_ping = now + interval * self._generator.uniform(0.8, 1.2)

    def _choose_witnesses(self, now):
        """Return a few idle peers to ping if no peer has answered recently."""
        if now - self._answered_at < ANSWER_TIMEOUT or now < self._next_witnesses_at:
            return []
        self._next_witnesses_at = now + 2 * ANSWER_TIMEOUT
        idle = [peer for peer in self._peers if peer not in self._waiting]
        chosen = self._generator.sample(idle, min(WITNESSES, len(idle)))
        for peer in chosen:
            self._start_wait(peer, self._peers[peer], now, 0.0)
        return [(peer, self._peers[peer]) for peer in chosen]

    def _is_overdue(self, record, now):
        """Return whether a peer is overdue while another one answers."""
        if record.suspected_since is not None and record.answering_since is None:
            return False
        return (
            record.pings >= MIN_PINGS
            and now >= record.deadline
            and self._answered_at - record.waiting_since >= ANSWER_TIMEOUT
        )

    def _suspect(self, peer, record, now):
        if now - record.last_flap > FLAP_EXPIRY:
            record.flaps = 0
        record.flaps += 1
        record.last_flap = now
        record.answering_since = None
        if record.suspected_since is None:
            record.suspected_since = now
        self._suspected[peer] = record

    def _handle_suspect_answer(self, peer, record, now):
        """Record an answer of a suspect, which may end the suspicion.

        After its second suspicion and each further one within `FLAP_EXPIRY`, a
        peer must answer for a period that doubles, up to `MAX_HOLD_DOWN`.
        """
        if record.answering_since is None:
            record.answering_since = now
        hold_down = (
            min(MAX_HOLD_DOWN, 2.0 ** (record.flaps - 1)) if record.flaps > 1 else 0.0
        )
        if now - record.answering_since < hold_down:
            self._start_wait(peer, record, now, PING_INTERVAL)
            return
        record.suspected_since = None
        record.answering_since = None
        record.waiting_since = None
        self._waiting.pop(peer, None)
        self._suspected.pop(peer, None)


def find_suspected_targets(
    service: Service,
    suspects: Set[Hashable],
    confirmed: Set[Hashable] = frozenset(),
) -> frozenset[str]:
    """Return the ids of a service's targets whose agents are suspected.

    If the agents of more than half of the targets are suspected, only
    confirmed suspects count: so many failures at once are more likely delays,
    and the remaining targets couldn't carry the load. If all targets are
    confirmed suspects, the result is empty.

    Parameters
    ----------
    suspects, confirmed : set of Address
        Agents that are suspected, and those whose suspicion is confirmed.
    """
    suspected = _find_targets(service, suspects)
    if 2 * len(suspected) <= len(service.targets_by_id):
        return suspected
    confirmed_targets = _find_targets(service, confirmed)
    if len(confirmed_targets) < len(service.targets_by_id):
        return confirmed_targets
    return frozenset()


def _find_targets(service, agents):
    return frozenset(
        target_id
        for target_id, target in service.targets_by_id.items()
        if target.agent in agents
    )
