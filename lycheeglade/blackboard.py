"""What one process knows, in one place that its controllers share."""

from collections.abc import Callable
from typing import Generic, TypeVar

from reactivex import Observable
from reactivex.abc import DisposableBase
from reactivex.subject import BehaviorSubject

from lycheeglade.view import View

Entry = TypeVar("Entry")

NEVER = float("-inf")


class Topic(Generic[Entry]):
    """One typed entry of the blackboard. Each topic has a single writer."""

    def __init__(self, initial: Entry):
        self._subject = BehaviorSubject(initial)

    @property
    def value(self) -> Entry:
        """The entry as it was last written."""
        return self._subject.value

    @property
    def changes(self) -> Observable[Entry]:
        """The present entry and all later ones."""
        return self._subject

    def write(self, entry: Entry) -> None:
        """Replace the entry and tell all subscribers."""
        self._subject.on_next(entry)

    def subscribe(self, on_change: Callable[[Entry], None]) -> DisposableBase:
        """Call `on_change` with the present entry and with all later ones."""
        return self._subject.subscribe(on_change)


class Blackboard:
    """Entries that the controllers of one process read and write.

    Attributes
    ----------
    view : Topic of View
        The published configuration; revision 0 until a whole one is known.
    checked_at : Topic of float
        When this process last asked others for a newer view, whether anyone
        answered or not; `lycheeglade.watch.is_view_fresh` judges it.
    heard_at : Topic of float
        When the platform or a peer last answered.
    stopping : Topic of bool
        A graceful shutdown has begun.
    """

    def __init__(self):
        self.view: Topic[View] = Topic(View())
        self.checked_at: Topic[float] = Topic(NEVER)
        self.heard_at: Topic[float] = Topic(NEVER)
        self.stopping: Topic[bool] = Topic(False)
