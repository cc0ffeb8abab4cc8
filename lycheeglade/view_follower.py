"""Keeps a balancer's view current, from the store or from other balancers."""

from asyncio import Task, create_task
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from time import monotonic

from lycheeglade.address import Address, Zone
from lycheeglade.known_view import KnownView
from lycheeglade.relay_message import Duty, Message, Peers, ViewStatus
from lycheeglade.route import RoutingView
from lycheeglade.store_revision import StoreRevision
from lycheeglade.supervision import keep_running, log_failure
from lycheeglade.view_currency import NEVER
from lycheeglade.view_exchange import ViewExchange
from lycheeglade.view_history import clear_history
from lycheeglade.view_transfer import fetch_view

# Source of the views that this process reads from the store itself.
STORE = "store"
# Source of a view that changes because a target is no longer withheld, or an
# evacuation is no longer kept.
HISTORY = "history"
# Pause before a view that could not be applied is applied again.
APPLY_RETRY_S = 0.1

# Follows the store: gets a view to start from, the revision up to which that
# view is complete, and callbacks for newer views and for answers and failures.
FollowStore = Callable[
    [
        RoutingView,
        StoreRevision,
        Callable[[RoutingView], None],
        Callable[[StoreRevision | None], None],
    ],
    Awaitable[None],
]

# Reads the store once: returns the view and the revision up to which it is
# complete, or None if the store fails to answer.
ReadStore = Callable[[], Awaitable[tuple[RoutingView, StoreRevision] | None]]


class ViewFollower:
    """Follows the store while it is this balancer's duty, otherwise its peers.

    At the start it reads the store once. After a loss of power no balancer has
    a view, and those that would be asked for it may be the last to start.

    Routes and the states of targets never revert, even if the store was
    restored from an older copy. An evacuation that the copy lacks is kept for
    a time.

    Parameters
    ----------
    read_store : callable
        Reads the store once.
    follow_store : callable
        Runs forever and passes each published view to its argument.
    find_seeds : callable
        Returns the internal addresses of some balancers.
    apply_view : callable
        Called with each newer view and its source: a peer, or `STORE`. If it
        fails it is called again, since nobody may have a newer view.
    send : callable
        Sends a message to another balancer.
    now : float
        Monotonic seconds.
    inherit : callable
        Called with the view of a peer and its history, after `apply_view` if
        the view is newer.
    """

    def __init__(
        self,
        address: Address,
        zone: Zone,
        generator: Random,
        read_store: ReadStore,
        follow_store: FollowStore,
        find_seeds: Callable[[], tuple[Address, ...]],
        apply_view: Callable[[RoutingView, str], None],
        send: Callable[[Address, Message], None],
        log: Callable[..., None],
        now: float,
        inherit: Callable[[RoutingView], None] = lambda received: None,
    ):
        self._exchange = ViewExchange(address, generator, str(zone), now)
        self._read_store = read_store
        self._follow_store = follow_store
        self._find_seeds = find_seeds
        self._apply_view = apply_view
        self._send = send
        self._log = log
        self._inherit = inherit
        self._known = KnownView()
        self._unapplied_source: str | None = None
        self._apply_due_at = NEVER
        self._applied_as_of = NEVER
        self._reading: Task | None = None
        self._following: Task | None = None
        self._fetching: Task | None = None

    def get_view(self) -> RoutingView:
        """Return the latest view as it was published."""
        return self._known.view

    @property
    def current_as_of(self) -> float:
        """Time as of which the applied view is known to lack no change."""
        if self._unapplied_source is not None:
            return self._applied_as_of
        return self._exchange.current_as_of

    def is_awaiting_view(self) -> bool:
        """Return whether a newer view is known, or would be reported soon."""
        is_unapplied = self._unapplied_source is not None
        version = self._known.view.version
        return is_unapplied or self._exchange.is_awaiting_view(version)

    def receive(self, message: Peers | ViewStatus, source: Address, now: float) -> None:
        """Process a message of another balancer."""
        version = self._known.view.version
        for address, reply in self._exchange.receive(message, source, version, now):
            self._send(address, reply)

    def tick(self, now: float) -> None:
        """Run the periodic work; call it about 50 times a second."""
        if self._reading is None:
            self._reading = create_task(self._read())
        previous = self._exchange.duty
        duty = self._exchange.tick(self._find_seeds, self._known.view, self._send, now)
        if duty is not previous:
            self._log("view-duty", duty=duty, checked=self._exchange.checked)
        if duty is Duty.FOLLOWER:
            self._stop_following()
        elif self._following is None or self._following.done():
            self._following = create_task(
                keep_running(self._follow, "store-follower", self._log)
            )
        if self._fetching is None or self._fetching.done():
            source = self._exchange.choose_source(self._known.view.version, now)
            if source is not None:
                self._fetching = create_task(self._fetch(source))
        if self._known.is_due(now):
            self._apply(self._known.correct(now), HISTORY, now)
        elif self._unapplied_source is not None and now >= self._apply_due_at:
            self._apply(self._known.correct(now), self._unapplied_source, now)

    def resign(self) -> None:
        """Leave the store to the others, since this process is stopping."""
        self._exchange.resign()

    def close(self) -> None:
        """Cancel the background tasks."""
        self._stop_following()
        for task in (self._reading, self._fetching):
            if task is not None:
                task.cancel()

    def _stop_following(self) -> None:
        if self._following is not None:
            self._following.cancel()
            self._following = None

    def _observe(self, checked: StoreRevision | None) -> None:
        if checked is None:
            self._exchange.record_store_failure(monotonic())
        else:
            self._exchange.record_store_answer(checked, monotonic())

    def _publish(self, view: RoutingView, source: str) -> None:
        # Without routes a view can't be used, and peers must not fetch it.
        if not view.configuration:
            return
        now = monotonic()
        previous = self._known.view
        if not self._known.receive(view, now):
            if view.store < previous.store:
                self._log(
                    "view-ignored",
                    source=source,
                    revision=view.store,
                    known=previous.store,
                )
            return
        corrected = self._known.correct(now)
        if previous.configuration and corrected.era != previous.era:
            self._log_era(previous, view, corrected)
        self._apply(corrected, source, now)
        self._exchange.announce(self._known.view.version, self._send, now)

    def _apply(self, view: RoutingView, source: str, now: float) -> None:
        if self._unapplied_source is None:
            self._applied_as_of = self._exchange.current_as_of
        self._unapplied_source = source
        self._apply_due_at = now + APPLY_RETRY_S
        self._apply_view(view, source)
        self._unapplied_source = None

    def _log_era(
        self, previous: RoutingView, restored: RoutingView, corrected: RoutingView
    ) -> None:
        """Log which states take precedence over the restored ones."""
        history = self._known.history
        self._log(
            "store-era",
            era=restored.era,
            known_era=previous.era,
            revision=restored.revision,
            known_revision=previous.revision,
            configuration=corrected.configuration,
            withheld=",".join(sorted(history.withheld_until_by_id)),
            kept_leaving=",".join(history.find_kept_leaving(restored)),
            kept_evacuated=",".join(sorted(self._known.evacuations.kept_until_by_zone)),
        )

    async def _read(self) -> None:
        try:
            answer = await self._read_store()
            if answer is not None:
                view, checked = answer
                self._publish(view, STORE)
                if view.store == self._known.view.store:
                    self._exchange.record_copy(checked)
        except Exception as error:
            log_failure("store-reader", error, self._log)

    async def _follow(self) -> None:
        try:
            await self._follow_store(
                self._known.view,
                self._exchange.checked,
                partial(self._publish, source=STORE),
                self._observe,
            )
        except Exception:
            # Another balancer of the zone may be able to read the store.
            self._observe(None)
            raise

    async def _fetch(self, source: Address) -> None:
        try:
            view = await fetch_view(source, self._log)
            if view is not None:
                self._publish(clear_history(view), str(source))
                self._inherit(view)
                # Only now, since a failed fetch is repeated.
                self._exchange.record_fetch(source, view.version)
                self._exchange.update_currency(self._known.view.version)
                return
        except Exception as error:
            log_failure("view-fetcher", error, self._log)
        self._exchange.record_failed_fetch(monotonic())
