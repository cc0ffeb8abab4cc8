"""What one process has learnt from the platform and from its peers."""

from collections.abc import Iterable

from lycheeglade.blackboard import NEVER
from lycheeglade.errors import OptionError
from lycheeglade.gossip_message import Compare, Exchange, PublishedValue, Reply
from lycheeglade.spread import (
    Snapshot,
    advance,
    bucket_digests,
    changes_after,
    replace_all,
    values_that_differ,
)
from lycheeglade.value import Value

MAX_REPLY_BYTES = 128 * 1024
# Seconds between two comparisons that brought nothing new.
COMPARE_S = 30.0

Errors = tuple[OptionError, ...]


class Knowledge:
    """The snapshot of one process and the load that may replace it.

    A process that knows nothing, or that missed deletions which its peers have
    forgotten, loads a whole snapshot beside the present one. What it loads
    comes into force when it is complete.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now: float):
        self.snapshot = Snapshot()
        self._loading: Snapshot | None = Snapshot()
        self._loading_floor = 0
        self._started_at = now
        self._confirmed_at = NEVER
        self._compare_at = NEVER

    @property
    def asked_revision(self) -> int:
        """Revision after which this process asks for changes."""
        return self._base.revision

    def silence(self, now: float) -> float:
        """Return the seconds since the platform confirmed what is known.

        Before any confirmation they count from the start of the process.
        """
        return max(0.0, now - max(self._started_at, self._confirmed_at))

    def is_behind(self, revision: int) -> bool:
        """Tell whether a peer with that revision knows more."""
        return revision > self.snapshot.revision

    def ask(self, sender_ip: str, sender_port: int) -> Exchange:
        """Return the request for changes that this process lacks."""
        return Exchange(
            self.asked_revision, self.snapshot.digest, sender_ip, sender_port
        )

    def answer(self, exchange: Exchange, fresh: bool, now: float) -> Reply:
        """Return the reply to a peer's request for changes."""
        snapshot = self.snapshot
        if exchange.revision >= snapshot.revision:
            return self._reply((), snapshot.revision, fresh, now)
        changes = changes_after(snapshot, exchange.revision, MAX_REPLY_BYTES)
        return self._reply(changes.values, changes.revision, fresh, now)

    def answer_compare(self, compare: Compare, fresh: bool, now: float) -> Reply:
        """Return the reply to a peer whose digest differs."""
        values = values_that_differ(self.snapshot, compare.digests)
        return self._reply(_bound(values), self.snapshot.revision, fresh, now)

    def take_reply(self, reply: Reply, asked_revision: int, now: float) -> Errors:
        """Learn from a peer's reply.

        Parameters
        ----------
        asked_revision : int
            `asked_revision` when the request was sent.

        Returns
        -------
        tuple of OptionError
            Why values were refused.
        """
        if self._must_start_over(reply, asked_revision):
            self._loading = Snapshot()
            self._loading_floor = reply.floor
            return ()
        base = self._base
        up_to = reply.up_to if asked_revision <= base.revision else base.revision
        step = advance(base, _values_of(reply), up_to)
        if self._loading is None:
            self.snapshot = step.snapshot
        else:
            self._continue_loading(step.snapshot, reply, asked_revision)
        self._confirm_by_peer(reply, now)
        return step.errors

    def needs_compare(self, reply: Reply, now: float) -> bool:
        """Tell whether a peer of the same revision knows other values."""
        return (
            reply.revision == self.snapshot.revision
            and reply.digest != self.snapshot.digest
            and now >= self._compare_at
        )

    def compare(self) -> Compare:
        """Return the request for the values that differ."""
        return Compare(bucket_digests(self.snapshot))

    def take_compared(self, reply: Reply, now: float) -> Errors:
        """Learn from a peer's reply to a comparison."""
        step = advance(self.snapshot, _values_of(reply), self.snapshot.revision)
        if step.snapshot.digest == self.snapshot.digest:
            self._compare_at = now + COMPARE_S
        self.snapshot = step.snapshot
        return step.errors

    def take_values(self, values: Iterable[Value]) -> Errors:
        """Learn some values of the platform before all are read."""
        step = advance(self.snapshot, values, self.snapshot.revision)
        self.snapshot = step.snapshot
        return step.errors

    def take_index(self, revision: int, after: int, now: float) -> bool:
        """Note that all changes of an index of the platform were taken.

        Parameters
        ----------
        revision : int
            Last change that the platform knows.
        after : int
            Revision after which the index was asked for.

        Returns
        -------
        bool
            False if the platform is behind, so that nothing was confirmed.
        """
        if revision < self.snapshot.revision or after > self.snapshot.revision:
            return False
        self.snapshot = advance(self.snapshot, (), revision).snapshot
        if revision:
            self._loading = None
        self._confirmed_at = max(self._confirmed_at, now)
        return True

    @property
    def _base(self) -> Snapshot:
        return self.snapshot if self._loading is None else self._loading

    def _reply(
        self, values: Iterable[Value], up_to: int, fresh: bool, now: float
    ) -> Reply:
        return Reply(
            revision=self.snapshot.revision,
            digest=self.snapshot.digest,
            fresh=fresh,
            age=now - self._confirmed_at,
            up_to=up_to,
            floor=self.snapshot.floor,
            values=tuple(PublishedValue(v.name, v.revision, v.text) for v in values),
        )

    def _must_start_over(self, reply: Reply, asked_revision: int) -> bool:
        """Tell whether the peer may have forgotten deletions not seen here."""
        known = max(asked_revision, self._loading_floor if self._loading else 0)
        return asked_revision > 0 and reply.floor > known

    def _continue_loading(
        self, loaded: Snapshot, reply: Reply, asked_revision: int
    ) -> None:
        if not asked_revision:
            self._loading_floor = max(self._loading_floor, reply.floor)
        self._loading = loaded
        if not loaded.revision or loaded.revision < reply.revision:
            return
        self._loading = None
        if loaded.revision > self.snapshot.revision:
            self.snapshot = replace_all(self.snapshot, loaded)

    def _confirm_by_peer(self, reply: Reply, now: float) -> None:
        if reply.revision == self.snapshot.revision and reply.age >= 0.0:
            self._confirmed_at = max(self._confirmed_at, now - reply.age)


def _values_of(reply: Reply) -> list[Value]:
    return [Value(each.name, each.revision, each.text) for each in reply.values]


def _bound(values: list[Value]) -> list[Value]:
    """Return the first of `values` that fit into a reply."""
    bounded, size = [], 0
    for value in values:
        size += len(value.name) + len(value.text or "")
        if bounded and size > MAX_REPLY_BYTES:
            break
        bounded.append(value)
    return bounded
