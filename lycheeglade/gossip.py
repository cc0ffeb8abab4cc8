"""Keeps the view current by watching the platform and gossiping with peers.

Requests and replies between peers go over ``pynng`` (Req0 to Rep0, TCP). Only
replies on connections that this process opened change its state; a received
request can at most trigger a request to a peer that is already listed.
"""

from asyncio import (
    Event,
    TaskGroup,
    gather,
    sleep,
    timeout,
)
from collections.abc import Iterable
from logging import DEBUG, ERROR, INFO, WARNING, getLogger
from random import Random
from time import monotonic

from aiohttp import ClientSession
from pynng import NNGException, Rep0

from lycheeglade.address import Address
from lycheeglade.blackboard import Blackboard
from lycheeglade.errors import OptionError, PacketError
from lycheeglade.failures import FailureLog, run_restarted
from lycheeglade.gossip_message import (
    MAX_MESSAGE_BYTES,
    Compare,
    Exchange,
    Message,
    Reply,
    decode_message,
    encode_message,
)
from lycheeglade.knowledge import Knowledge
from lycheeglade.logs import log_event
from lycheeglade.peer import REQUEST_TIMEOUT_S, ask_peer, raise_if_cancelled
from lycheeglade.platform_client import IndexEntry, PlatformClient, PlatformError
from lycheeglade.settings import Settings
from lycheeglade.spread import build_view
from lycheeglade.value import Value
from lycheeglade.view import View
from lycheeglade.watch import (
    VIEW_FRESH_S,
    Rank,
    ReadBudget,
    ResponsivePeers,
    choose_peers,
    choose_responsive_peers,
    is_view_fresh,
    is_watcher,
    list_peers,
    rank_watcher,
    retry_delay,
)

logger = getLogger(__name__)

SEND_TIMEOUT_MS = 500
SERVE_RETRY_S = 0.01
ROUND_S = 2.0
ROUND_JITTER_S = 0.5
ATTEMPTS_PER_ROUND = 2
ATTEMPTS_WHEN_STALE = 3
PUSH_FANOUT = 6
PUSH_INTERVAL_S = 0.2
MAX_REPLIES_PER_PULL = 512
MAX_PENDING_PULLS = 8
WATCH_S = 10.0
WATCH_INTERVAL_S = 0.2
PARALLEL_READS = 8


async def follow_configuration(
    settings: Settings,
    blackboard: Blackboard,
    generator: Random,
    failures: FailureLog,
) -> None:
    """Keep the blackboard's view current until cancelled.

    Writes ``view``, ``checked_at`` and ``contact_at``. A task that fails is
    restarted, and the other tasks continue meanwhile.

    Raises
    ------
    OSError
        If binding the control address fails.
    """
    async with ClientSession() as session:
        platform = PlatformClient(settings.platform_url, session)
        follower = ConfigurationFollower(settings, blackboard, generator, platform)
        run_by_part = {
            "gossip-serve": lambda: follower.serve(listener),
            "gossip-round": follower.exchange_in_rounds,
            "gossip-pull": follower.pull_when_behind,
            "gossip-push": follower.push_announcements,
            "platform": follower.watch_platform,
        }
        with Rep0(
            recv_max_size=MAX_MESSAGE_BYTES, send_timeout=SEND_TIMEOUT_MS
        ) as listener:
            _listen(listener, settings.control)
            async with TaskGroup() as tasks:
                for part, run in run_by_part.items():
                    tasks.create_task(run_restarted(part, run, failures, generator))


def _listen(listener: Rep0, address: Address) -> None:
    try:
        listener.listen(f"tcp://{address}")
    except NNGException as error:
        raise OSError(f"{address}: {error}") from error


class ConfigurationFollower:
    """Gossip and platform tasks of one process, which update its view."""

    def __init__(
        self,
        settings: Settings,
        blackboard: Blackboard,
        generator: Random,
        platform: PlatformClient,
    ):
        self._settings = settings
        self._blackboard = blackboard
        self._random = generator
        self._platform = platform
        self._knowledge = Knowledge(monotonic())
        self._read_budget = ReadBudget()
        self._peers = list_peers(settings, blackboard.view.value)
        self._responsive = ResponsivePeers()
        self._rank = Rank()
        self._published_state = (0, 0)
        self._view_changed = Event()
        self._pull_needed = Event()
        self._revision_by_sender: dict[Address, int] = {}

    async def serve(self, listener: Rep0) -> None:
        """Answer requests of peers until cancelled."""
        while True:
            try:
                message = decode_message(await listener.arecv())
                reply = self._answer(message, monotonic())
                if reply is not None:
                    await listener.asend(encode_message(reply))
            except PacketError as error:
                log_event(logger, WARNING, "control-refused", cause=error.cause)
            except NNGException as error:
                log_event(logger, DEBUG, "control-reply-lost", cause=error)
                await sleep(SERVE_RETRY_S)
            raise_if_cancelled()

    async def exchange_in_rounds(self) -> None:
        """Exchange revisions with a random peer every `ROUND_S` seconds."""
        while True:
            started_at = monotonic()
            await self._exchange_once(started_at)
            if monotonic() - started_at < VIEW_FRESH_S:
                self._blackboard.checked_at.write(started_at)
            jitter = self._random.uniform(-ROUND_JITTER_S, ROUND_JITTER_S)
            await sleep(ROUND_S + jitter)

    async def pull_when_behind(self) -> None:
        """Pull from peers whose requests announced a newer revision."""
        while True:
            await self._pull_needed.wait()
            self._pull_needed.clear()
            while self._revision_by_sender:
                sender, revision = self._revision_by_sender.popitem()
                if self._knowledge.is_behind(revision):
                    await self._exchange_with(sender)

    async def push_announcements(self) -> None:
        """Announce each new revision to a few random peers in parallel."""
        async with TaskGroup() as pushes:
            while True:
                await self._view_changed.wait()
                self._view_changed.clear()
                for peer in self._choose_responsive(PUSH_FANOUT):
                    pushes.create_task(self._push_to(peer))
                await sleep(self._random.uniform(0.5, 1.0) * PUSH_INTERVAL_S)

    async def _push_to(self, peer: Address) -> None:
        """Announce the revision to `peer`, or to another one if that fails.

        The other peer is also tried if the answer of `peer` isn't fresh.
        """
        if not await self._exchange_with(peer):
            for other in self._choose_responsive(1):
                await self._exchange_with(other)

    def _choose_responsive(self, count: int) -> list[Address]:
        responsive = self._responsive.list_recent(monotonic())
        return choose_responsive_peers(self._peers, responsive, count, self._random)

    async def watch_platform(self) -> None:
        """Read changes from the platform while this process is a watcher."""
        failures = 0
        await self._load_peers()
        while True:
            confirmation_age = self._knowledge.confirmation_age(monotonic())
            if not is_watcher(self._rank, confirmation_age):
                await sleep(self._random.uniform(0.5, 1.5))
                continue
            try:
                confirmed = await self._read_changes(WATCH_S)
            except PlatformError as error:
                level = DEBUG if failures else WARNING
                log_event(logger, level, "platform-unread", cause=error)
                confirmed = False
            failures = 0 if confirmed else failures + 1
            await sleep(self._watch_delay(failures))

    def _watch_delay(self, failures: int) -> float:
        if not failures:
            return self._random.uniform(0.5, 1.0) * WATCH_INTERVAL_S
        return retry_delay(failures, self._rank, self._random)

    def _answer(self, message: Message, now: float) -> Reply | None:
        fresh = is_view_fresh(self._blackboard.checked_at.value, now)
        if isinstance(message, Exchange):
            self._record_announcement(message)
            return self._knowledge.build_reply(message, fresh, now)
        if isinstance(message, Compare):
            return self._knowledge.build_compare_reply(message, fresh, now)
        raise PacketError("kind")

    def _record_announcement(self, exchange: Exchange) -> None:
        sender = Address(exchange.sender_ip, exchange.sender_port)
        if not self._knowledge.is_behind(exchange.revision):
            return
        if len(self._revision_by_sender) >= MAX_PENDING_PULLS:
            return
        if self._peers.knows(sender):
            self._revision_by_sender[sender] = exchange.revision
            self._pull_needed.set()

    async def _exchange_once(self, now: float) -> None:
        """Exchange with one peer, or with several if the view isn't fresh.

        The view isn't fresh after a start or a pause of this process. If no
        peer gives a fresh answer then, the platform is read.
        """
        if is_view_fresh(self._blackboard.checked_at.value, now):
            for peer in choose_peers(self._peers, ATTEMPTS_PER_ROUND, self._random):
                if await self._exchange_with(peer):
                    return
            return
        peers = choose_peers(self._peers, ATTEMPTS_WHEN_STALE, self._random)
        if any(await gather(*map(self._exchange_with, peers))):
            return
        try:
            async with timeout(REQUEST_TIMEOUT_S):
                await self._read_changes(0.0)
        except (PlatformError, TimeoutError) as error:
            log_event(logger, INFO, "nobody-heard", cause=repr(error))

    async def _exchange_with(self, peer: Address) -> bool:
        """Announce the revision to `peer` and pull all of its changes.

        Returns
        -------
        bool
            Whether the peer answered and its own view is fresh.
        """
        for _ in range(MAX_REPLIES_PER_PULL):
            started_at = monotonic()
            request = self._knowledge.build_request(*self._settings.control)
            reply = await ask_peer(peer, request)
            if reply is None:
                self._responsive.discard(peer)
                return False
            now = monotonic()
            self._responsive.record_answer(peer, now)
            self._publish(self._knowledge.apply_reply(reply, request.revision, now))
            if not self._knowledge.is_behind(reply.revision):
                break
        if self._knowledge.needs_compare(reply, monotonic()):
            await self._compare_with(peer)
        if reply.fresh:
            self._record_contact(started_at)
        return reply.fresh

    async def _compare_with(self, peer: Address) -> None:
        reply = await ask_peer(peer, self._knowledge.build_compare())
        if reply is not None:
            self._publish(self._knowledge.apply_compare_reply(reply, monotonic()))

    async def _load_peers(self) -> None:
        """Read the host list of this zone, to get peers to pull from.

        Not needed if the settings name seeds.
        """
        if self._settings.seeds:
            return
        try:
            value = await self._read_value(f"hosts/{self._settings.zone}")
        except PlatformError as error:
            log_event(logger, INFO, "peers-unknown", cause=error)
            return
        self._knowledge.apply_values([value])
        known = self._knowledge.snapshot.values_by_name.get(value.name)
        if known is not None and known.content is not None:
            hosts_by_id = {host.host_id: host for host in known.content}
            self._set_peers(View(hosts_by_id=hosts_by_id))

    async def _read_changes(self, wait: float) -> bool:
        """Read and apply the platform's changes.

        Returns
        -------
        bool
            Whether the platform has confirmed the snapshot.
        """
        started_at = monotonic()
        after = self._knowledge.snapshot.revision
        index = await self._platform.read_index(after, wait)
        missing = [entry for entry in index.changes if self._is_missing(entry)]
        complete = await self._read_values(missing)
        now = monotonic()
        confirmed = complete and self._knowledge.apply_index(index.revision, after, now)
        self._publish(())
        if confirmed:
            self._record_contact(started_at)
        return confirmed

    async def _read_values(self, missing: list[IndexEntry]) -> bool:
        """Read the listed values in batches.

        Returns
        -------
        bool
            Whether each value had at least its listed revision.
        """
        self._random.shuffle(missing)
        complete = True
        for start in range(0, len(missing), PARALLEL_READS):
            batch = missing[start : start + PARALLEL_READS]
            values = await gather(*map(self._read_entry, batch))
            known = [value for value in values if value is not None]
            self._log_refused(self._knowledge.apply_values(known))
            complete = complete and None not in values
        return complete

    async def _read_entry(self, entry: IndexEntry) -> Value | None:
        """Return the listed value, None if it isn't served as listed."""
        if entry.deleted:
            return Value(entry.name, entry.revision, None)
        if not self._is_missing(entry):
            return self._knowledge.snapshot.values_by_name.get(entry.name)
        try:
            value = await self._read_value(entry.name)
        except PlatformError as error:
            log_event(logger, INFO, "value-unread", name=entry.name, cause=error)
            return None
        return value if value.revision >= entry.revision else None

    async def _read_value(self, name: str) -> Value:
        await sleep(self._read_budget.reserve(monotonic()))
        return await self._platform.read_value(name)

    def _is_missing(self, entry: IndexEntry) -> bool:
        snapshot = self._knowledge.snapshot
        known = snapshot.values_by_name.get(entry.name)
        known_revision = known.revision if known is not None else 0
        refused = snapshot.refused_by_name.get(entry.name, 0)
        return max(known_revision, refused) < entry.revision

    def _publish(self, errors: Iterable[OptionError]) -> None:
        """Write the view to the blackboard if the snapshot has changed.

        Nothing is written before the snapshot is complete.
        """
        self._log_refused(errors)
        snapshot = self._knowledge.snapshot
        state = (snapshot.revision, snapshot.digest)
        if not self._knowledge.is_complete or state == self._published_state:
            return
        self._published_state = state
        previous = self._blackboard.view.value
        view, conflicts = build_view(snapshot, previous)
        for conflict in conflicts:
            log_event(logger, ERROR, "address-conflict", cause=conflict)
        self._blackboard.view.write(view)
        if view.hosts_by_id != previous.hosts_by_id:
            self._set_peers(view)
        self._view_changed.set()
        log_event(
            logger,
            INFO,
            "view",
            revision=view.revision,
            services=len(view.services_by_name),
            hosts=len(view.hosts_by_id),
        )

    def _set_peers(self, view: View) -> None:
        settings = self._settings
        self._peers = list_peers(settings, view)
        self._rank = rank_watcher(settings.host_id, settings.zone, view.hosts_by_id)

    def _record_contact(self, asked_at: float) -> None:
        contact_at = max(asked_at, self._blackboard.contact_at.value)
        self._blackboard.contact_at.write(contact_at)

    def _log_refused(self, errors: Iterable[OptionError]) -> None:
        for error in errors:
            log_event(logger, ERROR, "value-refused", cause=error)
