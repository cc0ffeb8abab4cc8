"""Merges what one process receives from the platform and its peers."""

from collections.abc import Iterable

from lycheeglade.blackboard import NEVER
from lycheeglade.errors import OptionError
from lycheeglade.gossip_message import (
    Compare,
    Exchange,
    PublishedValue,
    Reply,
    ValueDifference,
)
from lycheeglade.splice import Splice, apply_splices
from lycheeglade.spread import (
    Changes,
    Snapshot,
    bucket_digests,
    changes_after,
    find_differing_values,
    merge_values,
)
from lycheeglade.value import Step, Value, hash_text

MAX_REPLY_BYTES = 128 * 1024
# Seconds until the next comparison after one that changed nothing.
COMPARE_S = 30.0
# Seconds after which a pull restarts if no peer with its revision answers.
RESTART_PULL_S = 5.0

Errors = tuple[OptionError, ...]


class Knowledge:
    """Snapshot of one process, its pull state and its last confirmation.

    A pull from peers may take several replies. The values of each reply are
    applied on arrival, but the snapshot's revision only advances when the last
    reply has completed the pull.

    Parameters
    ----------
    now : float
        Monotonic time of the process's start, in seconds.
    """

    def __init__(self, now: float):
        self.snapshot = Snapshot()
        self._started_at = now
        self._confirmed_at = NEVER
        self._next_compare_at = NEVER
        self._pulled_up_to = 0
        self._pull_revision = 0
        self._pull_answered_at = now
        self._needs_whole_texts = False

    @property
    def is_complete(self) -> bool:
        """Whether the snapshot is complete, so that its view may be used."""
        return self.snapshot.revision > 0

    def confirmation_age(self, now: float) -> float:
        """Return the seconds since the platform last confirmed the snapshot.

        Before the first confirmation, return the seconds since the start of
        the process.
        """
        return max(0.0, now - max(self._started_at, self._confirmed_at))

    def is_behind(self, revision: int) -> bool:
        """Return whether `revision` is newer than the snapshot."""
        return revision > self.snapshot.revision

    def build_request(self, sender_ip: str, sender_port: int) -> Exchange:
        """Return a request for changes after the last complete revision."""
        after = max(self._pulled_up_to, self.snapshot.revision)
        digest, takes_differences = self.snapshot.digest, not self._needs_whole_texts
        return Exchange(after, digest, sender_ip, sender_port, takes_differences)

    def build_reply(self, exchange: Exchange, fresh: bool, now: float) -> Reply:
        """Return the reply to a peer's exchange request."""
        if not self.is_complete or exchange.revision >= self.snapshot.revision:
            return self._reply(Changes(self.snapshot.revision), fresh, now)
        changes = changes_after(self.snapshot, exchange.revision, MAX_REPLY_BYTES)
        known_up_to = exchange.revision if exchange.takes_differences else 0
        return self._reply(changes, fresh, now, known_up_to)

    def build_compare_reply(self, compare: Compare, fresh: bool, now: float) -> Reply:
        """Return the reply to a peer's compare request."""
        if not self.is_complete:
            return self._reply(Changes(0), fresh, now)
        values = _limit_size(find_differing_values(self.snapshot, compare.digests))
        refused = tuple(self.snapshot.refused_by_name.items())
        changes = Changes(self.snapshot.revision, tuple(values), refused)
        return self._reply(changes, fresh, now)

    def apply_reply(self, reply: Reply, after: int, now: float) -> Errors:
        """Apply a peer's reply to an exchange request.

        Parameters
        ----------
        after : int
            Revision that the request contained.

        Returns
        -------
        tuple of OptionError
            Errors of the values that were refused.
        """
        revision, refused = self.snapshot.revision, dict(reply.refused)
        rebuilt = [self._rebuild(each) for each in reply.differences]
        values = [*_values_of(reply), *(each for each in rebuilt if each is not None)]
        merged = merge_values(self.snapshot, values, revision, refused)
        self.snapshot = merged.snapshot
        # A value that can't be rebuilt is requested again as a whole text; the
        # pull must not be completed without it.
        self._needs_whole_texts = None in rebuilt
        if reply.revision > revision and not self._needs_whole_texts:
            self._continue_pull(reply, after, now)
        self._confirm_by_peer(reply, now)
        return merged.errors

    def needs_compare(self, reply: Reply, now: float) -> bool:
        """Return whether a peer at this revision holds different values.

        False until `COMPARE_S` seconds after a comparison without effect.
        """
        return (
            self.is_complete
            and reply.revision == self.snapshot.revision
            and reply.digest != self.snapshot.digest
            and now >= self._next_compare_at
        )

    def build_compare(self) -> Compare:
        """Return a request for the values that differ."""
        return Compare(bucket_digests(self.snapshot))

    def apply_compare_reply(self, reply: Reply, now: float) -> Errors:
        """Apply a peer's reply to a compare request."""
        revision, refused = self.snapshot.revision, dict(reply.refused)
        merged = merge_values(self.snapshot, _values_of(reply), revision, refused)
        if merged.snapshot.digest == self.snapshot.digest:
            self._next_compare_at = now + COMPARE_S
        self.snapshot = merged.snapshot
        return merged.errors

    def apply_values(self, values: Iterable[Value]) -> Errors:
        """Apply values of the platform without advancing the revision."""
        merged = merge_values(self.snapshot, values, self.snapshot.revision)
        self.snapshot = merged.snapshot
        return merged.errors

    def apply_index(self, revision: int, after: int, now: float) -> bool:
        """Complete the snapshot after all changes of an index were applied.

        Parameters
        ----------
        revision : int
            Number of the platform's latest change.
        after : int
            Revision after which the index lists the changes.

        Returns
        -------
        bool
            Whether the index confirms the snapshot. False if the platform's
            revision is older than the snapshot's, or if the snapshot doesn't
            reach `after`.
        """
        if revision < self.snapshot.revision or after > self.snapshot.revision:
            return False
        self.snapshot = merge_values(self.snapshot, (), revision).snapshot
        self._confirmed_at = max(self._confirmed_at, now)
        return True

    def _rebuild(self, difference: ValueDifference) -> Value | None:
        """Return the value after a difference.

        Returns
        -------
        Value or None
            None if the base isn't held here, a splice doesn't fit or the hash
            of the result differs.
        """
        held = self.snapshot.values_by_name.get(difference.name)
        if held is not None and held.revision >= difference.revision:
            return held
        if held is None or held.text is None or held.revision != difference.base:
            return None
        splices = [Splice(*each) for each in difference.splices]
        text = apply_splices(held.text, splices)
        if text is None or hash_text(text) != difference.text_hash:
            return None
        return Value(difference.name, difference.revision, text)

    def _reply(
        self, changes: Changes, fresh: bool, now: float, known_up_to: int = 0
    ) -> Reply:
        steps_by_name = {
            value.name: value.steps_from(known_up_to) for value in changes.values
        }
        return Reply(
            revision=self.snapshot.revision,
            digest=self.snapshot.digest,
            fresh=fresh,
            age=now - self._confirmed_at,
            up_to=changes.revision,
            values=tuple(
                PublishedValue(value.name, value.revision, value.text)
                for value in changes.values
                if not steps_by_name[value.name]
            ),
            refused=changes.refused,
            differences=tuple(
                _write_difference(value, steps_by_name[value.name])
                for value in changes.values
                if steps_by_name[value.name]
            ),
        )

    def _continue_pull(self, reply: Reply, after: int, now: float) -> None:
        """Advance the pull and complete it once its revision is reached.

        A reply from a peer with an older revision can't complete a pull that
        a peer with a newer one has begun. The pull restarts if no peer with a
        revision at least as new has answered for `RESTART_PULL_S` seconds.
        """
        if reply.revision < self._pull_revision:
            if now - self._pull_answered_at > RESTART_PULL_S:
                self._pull_revision = self._pulled_up_to = 0
            return
        self._pull_revision = reply.revision
        self._pull_answered_at = now
        if after <= max(self._pulled_up_to, self.snapshot.revision):
            self._pulled_up_to = max(self._pulled_up_to, reply.up_to)
        if self._pulled_up_to >= self._pull_revision:
            self.snapshot = merge_values(
                self.snapshot, (), self._pull_revision
            ).snapshot

    def _confirm_by_peer(self, reply: Reply, now: float) -> None:
        if reply.revision == self.snapshot.revision and reply.age >= 0.0:
            self._confirmed_at = max(self._confirmed_at, now - reply.age)


def _write_difference(value: Value, steps: tuple[Step, ...]) -> ValueDifference:
    splices = [step.splice for step in steps]
    return ValueDifference(
        value.name,
        value.revision,
        steps[0].base,
        tuple((splice.head, splice.tail, splice.middle) for splice in splices),
        hash_text(value.text),
    )


def _values_of(reply: Reply) -> list[Value]:
    return [Value(each.name, each.revision, each.text) for each in reply.values]


def _limit_size(values: list[Value]) -> list[Value]:
    """Return the first `values` that fit into a reply, at least one."""
    bounded, size = [], 0
    for value in values:
        size += len(value.name) + len(value.text or "")
        if bounded and size > MAX_REPLY_BYTES:
            break
        bounded.append(value)
    return bounded
