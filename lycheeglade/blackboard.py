"""State of one process that its controllers share."""

from collections.abc import Callable
from typing import Generic, TypeVar

from reactivex import Observable
from reactivex.abc import DisposableBase
from reactivex.subject import BehaviorSubject

from lycheeglade.view import View

Entry = TypeVar("Entry")

NEVER = float("-inf")


class Topic(Generic[Entry]):
    """Observable typed entry of the blackboard with a single writer."""

    def __init__(self, initial: Entry):
        self._subject = BehaviorSubject(initial)

    @property
    def value(self) -> Entry:
        """Latest entry."""
        return self._subject.value

    @property
    def changes(self) -> Observable[Entry]:
        """Stream of the current entry and all later ones."""
        return self._subject

    def write(self, entry: Entry) -> None:
        """Replace the entry and notify all subscribers."""
        self._subject.on_next(entry)

    def subscribe(self, on_change: Callable[[Entry], None]) -> DisposableBase:
        """Call `on_change` with the current entry and with all later ones."""
        return self._subject.subscribe(on_change)


class Blackboard:
    """Topics that the controllers of one process read and write.

    Attributes
    ----------
    view : Topic of View
        Published configuration; revision 0 until a complete one was received.
    checked_at : Topic of float
        Monotonic time of the last attempt to get a newer view from the
        platform or a peer, answered or not; see
        `lycheeglade.watch.is_view_fresh`.
    contact_at : Topic of float
        Monotonic time at which the last request was sent that the platform or
        a peer with a fresh view answered.
    stopping : Topic of bool
        Whether a graceful shutdown has begun.
    """

    def __init__(self):
        self.view: Topic[View] = Topic(View())
        self.checked_at: Topic[float] = Topic(NEVER)
        self.contact_at: Topic[float] = Topic(NEVER)
        self.stopping: Topic[bool] = Topic(False)
