"""Lightweight CoAP callers, each with one flow on one socket.

A caller keeps at most one feed, sends confirmations and small requests, and
downloads reels in blocks that it requests concurrently.
"""

from asyncio import Event, Future, get_running_loop, sleep, wait_for
from dataclasses import dataclass
from hashlib import sha256
from random import Random

from aiocoap import (
    CON,
    GATEWAY_TIMEOUT,
    GET,
    POST,
    PUT,
    SERVICE_UNAVAILABLE,
    UNAUTHORIZED,
    Message,
)

from demo.account import Account, FeedRecord, Outcome
from demo.blockwise import DOWNLOAD_WINDOW, BlockwiseDownload
from demo.coap import Endpoint, LostError, Remote, build_message, open_endpoint
from demo.feed import Feed

TOKEN_BYTES = 6
REQUEST_DEADLINE_S = 60.0
MAX_REFUSALS = 10
MAX_CHALLENGES = 4


@dataclass(frozen=True, slots=True)
class CallerOptions:
    """Options of a caller.

    Attributes
    ----------
    heartbeat : float
        Longest time between two notifications of a feed, in seconds.
    ack_timeout : float
        Seconds until the first retransmission.
    """

    service: str
    remote: Remote
    local_ip: str
    heartbeat: float = 10.0
    ack_timeout: float = 2.0


class Caller:
    """A caller with one flow, which records its results in an account."""

    def __init__(
        self, name: str, options: CallerOptions, account: Account, generator: Random
    ):
        self.name = name
        self.options = options
        self.account = account
        self.echo = b""
        self._generator = generator
        self._endpoint = self._make_endpoint()
        self._old_endpoints: list[Endpoint] = []
        self._futures_by_token: dict[bytes, Future] = {}
        self._feeds_by_token: dict[bytes, Feed] = {}
        self._sent = 0

    async def open(self):
        """Open the flow's socket."""
        await open_endpoint(self._endpoint, (self.options.local_ip, 0))
        return self

    def close(self) -> None:
        """Close the sockets of the current and of all earlier flows."""
        for endpoint in (self._endpoint, *self._old_endpoints):
            endpoint.close()

    async def reopen(self) -> None:
        """Switch to a new flow; pending requests finish on the old flow.

        Requests that start before the new socket is open use the old flow.
        """
        endpoint = self._make_endpoint()
        await open_endpoint(endpoint, (self.options.local_ip, 0))
        self._old_endpoints.append(self._endpoint)
        self._endpoint = endpoint
        self.echo = b""

    async def request(self, message: Message, deadline: float) -> Message:
        """Send a confirmable request and return the answer.

        Raises
        ------
        LostError
            If no answer arrives within `deadline` seconds, the request is
            reset, or all its retransmissions stay unacknowledged.
        """
        message.token = self.make_token()
        message.mtype = CON
        future = get_running_loop().create_future()
        self._futures_by_token[message.token] = future

        def fail_request():
            if not future.done():
                future.set_exception(LostError())

        endpoint = self._endpoint
        mid = endpoint.send(message, self.options.remote, fail_request, fail_request)
        try:
            return await wait_for(future, deadline)
        except TimeoutError:
            raise LostError from None
        finally:
            self._futures_by_token.pop(message.token, None)
            endpoint.stop_retransmission(self.options.remote, mid)

    async def get_status(self, work_ms: float | None = None) -> Outcome:
        """Send a small repeatable request."""
        return await self._run("status", GET, ("status",), work_ms)

    async def put_item(self, work_ms: float | None = None) -> Outcome:
        """Send an idempotent update."""
        return await self._run("item", PUT, ("item",), work_ms)

    async def confirm(self, work_ms: float | None = None) -> Outcome:
        """Send a confirmation, which must run at most once."""
        return await self._run("confirm", POST, ("confirm",), work_ms)

    async def _run(self, kind: str, code, path, work_ms) -> Outcome:
        self._sent += 1
        request_id = f"{self.name}-{kind}-{self._sent}"
        self.account.record_request(request_id, self.options.service, kind)
        loop = get_running_loop()
        started_at = loop.time()
        try:
            outcome = await self._attempt(request_id, code, path, work_ms, started_at)
        except LostError:
            outcome = Outcome.GIVEN_UP
        self.account.record_outcome(request_id, outcome, loop.time() - started_at)
        return outcome

    async def _attempt(self, request_id, code, path, work_ms, started_at) -> Outcome:
        loop = get_running_loop()
        challenges = 0
        for _attempt in range(MAX_REFUSALS + MAX_CHALLENGES):
            remaining = started_at + REQUEST_DEADLINE_S - loop.time()
            if remaining <= 0:
                return Outcome.GIVEN_UP
            message = self._build_request(request_id, code, path, work_ms)
            answer = await self.request(message, remaining)
            if answer.opt.echo is not None:
                self.echo = answer.opt.echo
            if answer.code == UNAUTHORIZED and answer.opt.echo is not None:
                challenges += 1
                self.account.counters["challenges"] += 1
                if challenges > MAX_CHALLENGES:
                    return Outcome.REFUSED
            elif answer.code == SERVICE_UNAVAILABLE:
                self.account.refusals_by_id[request_id] += 1
                pause = answer.opt.max_age or 1
                if loop.time() + pause > started_at + REQUEST_DEADLINE_S:
                    return Outcome.REFUSED
                await sleep(pause * self._generator.uniform(1.0, 1.2))
            else:
                return self._classify_answer(request_id, code, answer)
        return Outcome.REFUSED

    def _build_request(self, request_id, code, path, work_ms) -> Message:
        query = [f"service={self.options.service}", f"id={request_id}"]
        if work_ms is not None:
            query.append(f"work={work_ms:g}")
        message = build_message(code, uri_path=path, uri_query=query)
        if code != GET:
            message.payload = request_id.encode()
        if code == POST and self.echo:
            message.opt.echo = self.echo
            self.echo = b""
        return message

    def _classify_answer(self, request_id, code, answer: Message) -> Outcome:
        if answer.code == GATEWAY_TIMEOUT and b"outcome unknown" in answer.payload:
            return Outcome.UNKNOWN
        if not answer.code.is_successful():
            self.account.counters[f"error {answer.code}"] += 1
            return Outcome.FAILED
        if answer.payload != request_id.encode():
            self.account.wrong_answers.append(request_id)
        return Outcome.ANSWERED

    async def download_reel(self, size: int, digest: bytes, window=DOWNLOAD_WINDOW):
        """Download a reel with concurrent block requests; check its digest."""
        self._sent += 1
        request_id = f"{self.name}-reel-{self._sent}"
        self.account.record_request(request_id, self.options.service, "reel")
        loop = get_running_loop()
        started_at = loop.time()
        download = BlockwiseDownload(self, size, window)
        try:
            body = await download.download()
        except LostError:
            outcome = Outcome.GIVEN_UP
        else:
            outcome = Outcome.ANSWERED
            if sha256(body).digest() != digest:
                self.account.bad_digests.append(request_id)
        self.account.record_outcome(request_id, outcome, loop.time() - started_at)
        return outcome

    async def keep_feed(self, stopped: Event) -> FeedRecord:
        """Keep a feed until `stopped` is set; renew it when it breaks."""
        record = FeedRecord(f"{self.name}-feed")
        self.account.feeds_by_id[record.feed_id] = record
        feed = Feed(self, record)
        try:
            await feed.run(stopped)
        finally:
            feed.count_missing_items()
        return record

    def open_feed(self, token: bytes, feed: Feed, on_lost) -> None:
        """Register for the service's feed; pass notifications to `feed`."""
        self._feeds_by_token[token] = feed
        message = build_message(
            GET,
            token=token,
            mtype=CON,
            observe=0,
            uri_path=("feed",),
            uri_query=(f"service={self.options.service}", f"id={self.name}-feed"),
        )
        self._endpoint.send(message, self.options.remote, on_lost, on_lost)

    def close_feed(self, token: bytes) -> None:
        """Remove a feed; later notifications are answered with a reset."""
        self._feeds_by_token.pop(token, None)

    def _make_endpoint(self) -> Endpoint:
        def handle_response(message: Message, remote: Remote):
            self._handle_response(endpoint, message, remote)

        endpoint = Endpoint(
            self._generator,
            on_response=handle_response,
            on_duplicate=self._handle_duplicate,
            ack_timeout=self.options.ack_timeout,
        )
        return endpoint

    def _handle_duplicate(self, message: Message):
        feed = self._feeds_by_token.get(message.token)
        if feed is not None:
            feed.handle_duplicate()

    def make_token(self) -> bytes:
        """Return a new random token."""
        return self._generator.randbytes(TOKEN_BYTES)

    def _handle_response(self, endpoint: Endpoint, message: Message, remote: Remote):
        feed = self._feeds_by_token.get(message.token)
        future = self._futures_by_token.get(message.token)
        if feed is not None:
            if message.mtype == CON:
                endpoint.acknowledge(message, remote)
            feed.handle_notification(message)
        elif future is not None:
            if message.mtype == CON:
                endpoint.acknowledge(message, remote)
            if not future.done():
                future.set_result(message)
        else:
            self.account.counters["unexpected answers"] += 1
            if message.mtype == CON:
                endpoint.send_reset(message, remote)
