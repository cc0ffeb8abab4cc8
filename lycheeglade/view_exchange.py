"""Lets balancers learn of changes of the view from each other.

Balancers tell each other the versions of their views and whether they read the
store. One that is behind fetches the whole view from one that is ahead
(`view_transfer`).
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lycheeglade.address import Address
from lycheeglade.relay_message import Duty, Message, Peers, ViewStatus
from lycheeglade.route import RoutingView
from lycheeglade.store_revision import StoreRevision, ViewVersion
from lycheeglade.view_transfer import FETCH_TIMEOUT_S
from lycheeglade.watch_duty import (
    NEVER,
    WATCHER_TIMEOUT_S,
    Turn,
    ZonePeer,
    choose_duty,
)

# Balancers named in a message; the receiver learns the others from others.
MAX_REPORTED_PEERS = 8
MAX_NEIGHBOURS = 64
PEER_TIMEOUT_S = 5.0
# Further balancers are ignored until some of these were silent for
# PEER_TIMEOUT_S. There are some hundred in the largest deployments.
MAX_KNOWN_BALANCERS = 4096
GOSSIP_PEERS = 2
GOSSIP_PERIOD_S = 0.5
# Shorter period of a process that has no view yet.
START_PERIOD_S = 0.1
# A process that starts learns who watches in its zone before it watches itself
# after MIN_START_WAIT_S to MAX_START_WAIT_S seconds.
MIN_START_WAIT_S = 0.4
MAX_START_WAIT_S = 0.7
WATCHER_STATUS_PERIOD_S = 0.25
FOLLOWER_STATUS_PERIOD_S = 1.0
# Delays before a newer view is fetched from a balancer of another zone, so
# that the own zone's watcher, or the own watch, normally brings it first.
FETCH_DELAY_S = 0.4
WATCHER_FETCH_DELAY_S = 1.0
# There is no delay within this time after the start, as the first read of the
# store may lag behind by seconds.
START_CATCH_UP_S = 1.0
# After a failed fetch the next one follows after this pause.
FETCH_RETRY_S = 0.1

NO_VIEW = ViewVersion()

Send = Callable[[Address, Message], None]


@dataclass(slots=True)
class Peer:
    """State of another balancer.

    Attributes
    ----------
    version : ViewVersion
        The newest that it has reported.
    zone : str or None
        Its zone, or None until it has reported it.
    reported_at : float
        Time of its latest status.
    failed_at : float
        Time at which it last stopped trying to reach the store.
    """

    heard_at: float
    version: ViewVersion
    ahead_since: float
    zone: str | None = None
    duty: Duty = Duty.FOLLOWER
    reported_at: float = float("-inf")
    failed_at: float = NEVER


class ViewExchange:
    """Balancers that this one knows, and the versions of their views.

    Parameters
    ----------
    zone : str
        Zone of this balancer.
    started_at : float
        Time at which this process started, in monotonic seconds.

    Attributes
    ----------
    duty : Duty
        Whether this balancer reads the store.
    checked : StoreRevision
        Revision of the store up to which this balancer's view is complete.
    current_as_of : float
        Time as of which this balancer's view is known to lack no change, in
        monotonic seconds, negative infinity if it never was. Balancers that
        read the store tell it: this one, or others in their status.
    """

    def __init__(
        self,
        address: Address,
        generator: Random,
        zone: str = "",
        started_at: float = 0.0,
    ):
        self.duty = Duty.FOLLOWER
        self.checked = StoreRevision()
        self.current_as_of = NEVER
        self._address = address
        self._generator = generator
        self._zone = zone
        self._peers_by_address: dict[Address, Peer] = {}
        self._reported_at_by_address: dict[Address, float] = {}
        self._watcher_heard_at = (
            started_at
            - WATCHER_TIMEOUT_S
            + generator.uniform(MIN_START_WAIT_S, MAX_START_WAIT_S)
        )
        self._started_at = started_at
        self._gossip_due_at = started_at
        self._status_due_at = started_at
        self._fetch_due_at = started_at
        self._is_leaving = False
        self._has_fetched = False
        self._older_watcher_heard_at: float | None = None
        self._turn = Turn()

    def receive(
        self,
        message: Peers | ViewStatus,
        source: Address,
        version: ViewVersion,
        now: float,
    ) -> list[tuple[Address, Message]]:
        """Process a message of another balancer; return what to send to whom.

        A balancer that is new here, or whose view is behind `version`, gets
        the own status. So do balancers that `source` has named. A balancer
        beyond `MAX_KNOWN_BALANCERS` is ignored.
        """
        replies: list[tuple[Address, Message]] = []
        peers = self._peers_by_address
        if source not in peers and len(peers) >= MAX_KNOWN_BALANCERS:
            return replies
        if isinstance(message, ViewStatus):
            is_new = self.receive_status(message, source, version, now)
            strangers = self.find_strangers(message)
            if strangers:
                status = self.make_status(version, now)
                replies += [(address, status) for address in strangers]
        else:
            is_new = self.receive_peers(message, source, now)
            if is_new:
                replies.append((source, self.make_peers(version)))
        if is_new or message.version.is_behind(version):
            newcomer = source if is_new else None
            replies.append((source, self.make_status(version, now, newcomer)))
        return replies

    def receive_peers(self, message: Peers, source: Address, now: float) -> bool:
        """Update the known balancers from a message of `source`.

        Returns
        -------
        bool
            Whether `source` is new, so that it should get the own status.
        """
        is_new = source not in self._peers_by_address
        self._record_version(source, message.version, now)
        reported = self._reported_at_by_address
        for address in message.addresses:
            is_full = len(reported) >= MAX_KNOWN_BALANCERS
            if address != self._address and (address in reported or not is_full):
                reported[address] = now
        return is_new

    def receive_status(
        self, status: ViewStatus, source: Address, version: ViewVersion, now: float
    ) -> bool:
        """Record what another balancer's view is based on.

        A watcher of an earlier era of the store is cut off from it, or does
        not support eras, and counts as a follower.

        Parameters
        ----------
        version : ViewVersion
            Version of this balancer's view.

        Returns
        -------
        bool
            Whether `source` is new, so that it should get the own status.
        """
        known = self._peers_by_address.get(source)
        is_new = known is None or known.zone is None
        peer = self._record_version(source, status.version, now)
        is_outdated = status.era < version.store.era
        duty = Duty.FOLLOWER if is_outdated else status.duty
        resigns = peer.duty is Duty.WATCHER and duty is not Duty.WATCHER
        if resigns and status.zone == self._zone:
            # The others of its zone need not wait for its silence.
            self._watcher_heard_at = now - WATCHER_TIMEOUT_S
        if peer.duty is Duty.TRYING and duty is Duty.FOLLOWER:
            peer.failed_at = now
        peer.zone = status.zone
        peer.duty = duty
        peer.reported_at = now
        if duty is Duty.WATCHER:
            if status.zone == self._zone:
                self._watcher_heard_at = now
            if status.store == version.store:
                checked = StoreRevision(status.era, status.checked)
                self.checked = max(self.checked, checked)
            if self._older_watcher_heard_at is None and self._is_older(status, now):
                self._older_watcher_heard_at = now
            self.update_currency(version)
        return is_new

    def _is_older(self, watcher: ViewStatus, now: float) -> bool:
        """Return whether a watcher had a view before this process had one.

        One of an earlier build does not report its age; it is older if it
        watches before this process could.
        """
        own_age = now - self._started_at
        if watcher.age < 0.0:
            return own_age < MIN_START_WAIT_S
        return watcher.age >= own_age + MIN_START_WAIT_S

    def _record_version(
        self, source: Address, version: ViewVersion, now: float
    ) -> Peer:
        peer = self._peers_by_address.get(source)
        if peer is None:
            peer = self._peers_by_address[source] = Peer(now, version, now)
        else:
            peer.heard_at = now
            if peer.version.is_behind(version):
                peer.version = peer.version.combine(version)
                peer.ahead_since = now
        return peer

    def _is_behind(self, version: ViewVersion) -> bool:
        peers = self._peers_by_address.values()
        return any(version.is_behind(peer.version) for peer in peers)

    def is_awaiting_view(self, version: ViewVersion) -> bool:
        """Return whether a newer view is known, or would be reported soon.

        The zone's watcher reports several times a second.
        """
        return self._is_behind(version) or any(
            peer.duty is Duty.WATCHER and peer.zone == self._zone
            for peer in self._peers_by_address.values()
        )

    def update_currency(self, version: ViewVersion) -> None:
        """Update `current_as_of` of this balancer's view, of `version`.

        A balancer that starts first fetches the view of one that has read the
        store before, which names what has left it.
        """
        if self._is_behind(version):
            return
        peers = self._peers_by_address.values()
        reported_at = max(
            (peer.reported_at for peer in peers if peer.duty is Duty.WATCHER),
            default=NEVER,
        )
        self._record_current(reported_at)

    def _record_current(self, as_of: float) -> None:
        """Record that the view lacks no change, if it has its history."""
        if not self._lacks_history(as_of):
            self.current_as_of = max(self.current_as_of, as_of)

    def record_copy(self, checked: StoreRevision) -> None:
        """Record that the view has all changes up to `checked`.

        It was read from a copy of the store that may be seconds old.
        """
        self.checked = max(self.checked, checked)

    def record_store_answer(self, checked: StoreRevision, now: float) -> None:
        """Record that the store answered, with all changes up to `checked`."""
        self.checked = max(self.checked, checked)
        self._record_current(now)
        if self.duty is Duty.TRYING:
            self.duty = Duty.WATCHER
            self._status_due_at = float("-inf")

    def record_store_failure(self, now: float) -> None:
        """Record that a call to the store has failed."""
        self._turn.has_failed = True
        if self.duty is Duty.WATCHER:
            self.duty = Duty.TRYING
            self._turn.start(now)
            self._status_due_at = float("-inf")

    def resign(self) -> None:
        """Leave the store to the other balancers of the zone from now on."""
        self._is_leaving = True

    def make_status(
        self, version: ViewVersion, now: float, newcomer: Address | None = None
    ) -> ViewStatus:
        """Return the status of this balancer, whose view has `version`.

        Parameters
        ----------
        newcomer : Address, optional
            Receiver that should learn of the balancers of its zone.
        """
        neighbours = []
        if newcomer in self._peers_by_address:
            zone = self._peers_by_address[newcomer].zone
            neighbours = [
                address
                for address, peer in self._peers_by_address.items()
                if zone is not None and peer.zone == zone and address != newcomer
            ]
        is_current = self.checked.era == version.store.era
        return ViewStatus(
            zone=self._zone,
            revision=version.store.revision,
            checked=self.checked.revision if is_current else 0,
            duty=self.duty,
            neighbours=tuple(neighbours[-MAX_NEIGHBOURS:]),
            era=version.store.era,
            configuration=version.configuration,
            age=now - self._started_at,
        )

    def find_strangers(self, status: ViewStatus) -> list[Address]:
        """Return the balancers named in a status that are not known yet."""
        return [
            address
            for address in status.neighbours[:MAX_NEIGHBOURS]
            if address != self._address and address not in self._peers_by_address
        ]

    def announce(self, version: ViewVersion, send: Send, now: float) -> None:
        """Announce a newer view to the balancers that may lack it."""
        self.update_currency(version)
        status = self.make_status(version, now)
        for address in self._status_receivers():
            send(address, status)

    def _status_receivers(self) -> list[Address]:
        """Return the balancers that this one reports to.

        That is its zone and, if it reads the store, those that read it in
        other zones.
        """
        reads_store = self.duty is not Duty.FOLLOWER
        return [
            address
            for address, peer in self._peers_by_address.items()
            if peer.zone is None
            or peer.zone == self._zone
            or (reads_store and peer.duty is not Duty.FOLLOWER)
        ]

    def tick(
        self,
        seeds: Callable[[], tuple[Address, ...]],
        view: RoutingView,
        send: Send,
        now: float,
    ) -> Duty:
        """Send what is due and return the duty from now on.

        Parameters
        ----------
        seeds : callable
            Returns the addresses of some balancers.
        """
        if now >= self._gossip_due_at:
            self._gossip_due_at = now + self.draw_interval(view.configuration)
            self.gossip(seeds(), view.version, send, now)
        duty = self._choose_duty(now)
        if duty is not self.duty or now >= self._status_due_at:
            receivers = self._status_receivers()
            if duty is Duty.TRYING and self.duty is not Duty.TRYING:
                self._turn.start(now)
            self.duty = duty
            if duty is Duty.WATCHER and not self._is_behind(view.version):
                # The watch returns each change at once.
                self._record_current(now)
            is_follower = duty is Duty.FOLLOWER
            self._status_due_at = now + (
                FOLLOWER_STATUS_PERIOD_S if is_follower else WATCHER_STATUS_PERIOD_S
            )
            # A balancer that resigns tells those that follow it.
            status = self.make_status(view.version, now)
            for address in {*receivers, *self._status_receivers()}:
                send(address, status)
        return duty

    def _choose_duty(self, now: float) -> Duty:
        if self._is_leaving:
            return Duty.FOLLOWER
        peers = [
            ZonePeer(address, peer.reported_at, peer.duty, peer.failed_at)
            for address, peer in self._peers_by_address.items()
            if peer.zone == self._zone
        ]
        missed_since = self._watcher_heard_at
        duty = choose_duty(
            self._address, self.duty, peers, missed_since, now, self._turn
        )
        if self.duty is Duty.TRYING and duty is Duty.FOLLOWER:
            self._turn.failed_at = now
        return duty

    def gossip(
        self, seeds: tuple[Address, ...], version: ViewVersion, send: Send, now: float
    ) -> None:
        """Send the version and some known balancers to a few others."""
        for address, peer in list(self._peers_by_address.items()):
            if now - peer.heard_at > PEER_TIMEOUT_S:
                del self._peers_by_address[address]
        self._reported_at_by_address = {
            a: at
            for a, at in self._reported_at_by_address.items()
            if now - at < PEER_TIMEOUT_S
        }
        known = {*self._peers_by_address, *self._reported_at_by_address, *seeds}
        known.discard(self._address)
        message = self.make_peers(version)
        chosen = self._generator.sample(sorted(known), min(GOSSIP_PEERS, len(known)))
        if version == NO_VIEW:
            chosen = sorted({*chosen, *seeds} - {self._address})
        for address in chosen:
            send(address, message)

    def make_peers(self, version: ViewVersion) -> Peers:
        """Return a message that names a few random balancers."""
        active = sorted(self._peers_by_address)
        chosen = self._generator.sample(active, min(MAX_REPORTED_PEERS, len(active)))
        return Peers(
            revision=version.store.revision,
            addresses=tuple(chosen),
            era=version.store.era,
            configuration=version.configuration,
        )

    def choose_source(self, version: ViewVersion, now: float) -> Address | None:
        """Return a random balancer whose view to fetch, or None.

        That is one with a newer view than `version`, or any that reads the
        store if this balancer has started and has fetched none yet.

        Balancers of the own zone go first. Those of other zones only count
        once they have been ahead for a while.
        """
        if now < self._fetch_due_at:
            return None
        ahead = [
            (address, peer)
            for address, peer in self._peers_by_address.items()
            if peer.version != version and version.is_behind(peer.version)
        ]
        is_watcher = self.duty is Duty.WATCHER
        delay = WATCHER_FETCH_DELAY_S if is_watcher else FETCH_DELAY_S
        if version == NO_VIEW or now - self._started_at < START_CATCH_UP_S:
            delay = 0.0
        near = [
            address
            for address, peer in ahead
            if peer.zone == self._zone and not is_watcher
        ]
        ready = near or [
            address for address, peer in ahead if now - peer.ahead_since >= delay
        ]
        ready = ready or self._find_first_sources(now)
        return self._generator.choice(ready) if ready else None

    def _lacks_history(self, now: float) -> bool:
        """Return whether others may know what left the view before the start.

        If all balancers have started together, none does. If the history
        can't be fetched, it counts as unknown after a while.
        """
        heard_at = self._older_watcher_heard_at
        if heard_at is None or self._has_fetched:
            return False
        deadline = max(self._started_at + START_CATCH_UP_S, heard_at + FETCH_TIMEOUT_S)
        return now < deadline

    def _find_first_sources(self, now: float) -> list[Address]:
        """Return the balancers whose view a balancer that starts fetches.

        That is done even if they are not ahead, for what has left their view.
        """
        if not self._lacks_history(now):
            return []
        peers = self._peers_by_address.items()
        watchers = [(a, peer) for a, peer in peers if peer.duty is Duty.WATCHER]
        near = [address for address, peer in watchers if peer.zone == self._zone]
        return near or [address for address, _ in watchers]

    def record_fetch(self, source: Address, version: ViewVersion) -> None:
        """Record the version of the view that a peer has returned.

        It may have restarted since it reported a newer one.
        """
        self._has_fetched = True
        peer = self._peers_by_address.get(source)
        if peer is not None:
            peer.version = version

    def record_failed_fetch(self, now: float) -> None:
        """Record that a peer did not return its view."""
        self._fetch_due_at = now + FETCH_RETRY_S

    def draw_interval(self, configuration: int) -> float:
        """Return the seconds until the next exchange, with jitter."""
        base = GOSSIP_PERIOD_S if configuration else START_PERIOD_S
        return base * self._generator.uniform(0.8, 1.2)
