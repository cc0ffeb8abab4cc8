"""Simulated CoAP upstream with slots, cold start, shedding and a feed.

    python -m demo.upstream --listen 127.2.0.1:5683 --service booth-sync \
        --slots 1 --speed 0.5 --journal /tmp/nadi-a-1.journal

Resources
---------
``GET /feed`` (observe), ``GET /status``, ``GET /reel``, ``POST /confirm``,
``PUT /item``, and, without occupying a slot, ``GET /health``, ``GET /load``,
``GET /account``, ``POST /drain``, ``POST /fault`` (see `Upstream.set_fault`)
and ``DELETE /request?token=HEX``, which cancels a request of the sender.

Queries: ``service`` (compared with the upstream's service), ``id`` (request id
in the journal and account), ``deadline`` (remaining milliseconds), ``size``
(bytes of a reel) and ``work`` (milliseconds at speed 1). For each event the
journal gets a line ``run TIME ID``, ``done TIME ID``, ``feed TIME ID`` or
``wrong TIME ID`` with the wall-clock time. The journal outlives the process.
"""

from argparse import ArgumentParser
from asyncio import CancelledError, get_running_loop, run
from collections import Counter, deque
from contextlib import suppress
from functools import lru_cache
from hashlib import sha256
from json import dumps
from random import Random
from signal import SIGINT, SIGTERM

from aiocoap import (
    BAD_REQUEST,
    CHANGED,
    CONTENT,
    DELETE,
    DELETED,
    GET,
    NOT_FOUND,
    POST,
    PUT,
    SERVICE_UNAVAILABLE,
    Message,
)
from uvloop import install

from demo.coap import Remote, build_message, open_endpoint, parse_query
from demo.echo import Echo
from demo.journal import Journal
from demo.observers import ObserverRegistry
from demo.slots import Job, Slots
from demo.upstream_endpoint import MuteMode, UpstreamEndpoint, get_path
from lycheeglade.address import parse_address

DEFAULT_REEL_BYTES = 2 << 20
BLOCK_SIZE_EXPONENT = 6
BLOCK_WORK_S = 0.0002
ETAG_BYTES = 8
MAX_ID_BYTES = 64
MAX_LOAD_SAMPLES = 256
SEPARATE_RESPONSE_DELAY_S = 0.02


@lru_cache(maxsize=16)
def build_reel(size: int) -> tuple[bytes, bytes]:
    """Return a reel of `size` bytes and its ETag, equal at all upstreams."""
    reel = Random(size).randbytes(size)
    return reel, sha256(reel).digest()[:ETAG_BYTES]


def get_request_id(request: Message, query: dict[str, str]) -> str:
    """Return the request id from the query, else the payload's first word."""
    words = request.payload[:MAX_ID_BYTES].decode(errors="replace").split()
    return query.get("id") or (words[0] if words else "-")


class Upstream:
    """State of one upstream process."""

    def __init__(self, arguments, loop):
        self.arguments = arguments
        self.journal = Journal(arguments.journal)
        self.runs_by_id: Counter[str] = Counter()
        self.counters = Counter()
        generator = Random(arguments.seed)
        self.endpoint = UpstreamEndpoint(generator, on_request=self.handle_request)
        self.slots = Slots(
            loop,
            arguments.slots,
            arguments.queue,
            arguments.speed,
            arguments.cold_start,
        )
        self.feeds = ObserverRegistry(
            self.endpoint, loop, arguments.period, arguments.connections
        )
        self._generator = Random(arguments.seed + 1)
        self._loop = loop
        self._load_samples = deque(maxlen=MAX_LOAD_SAMPLES)
        self._encoded_account = b""
        self._handlers = {
            (GET, "feed"): self._serve_feed,
            (GET, "reel"): self._serve_reel,
            (GET, "status"): self._serve_work,
            (POST, "confirm"): self._serve_work,
            (PUT, "item"): self._serve_work,
            (GET, "health"): self._serve_health,
            (GET, "load"): self._serve_load,
            (GET, "account"): self._serve_account,
            (POST, "drain"): self._serve_drain,
            (POST, "fault"): self._serve_fault,
            (DELETE, "request"): self._serve_cancel,
        }

    def handle_request(self, request: Message, remote: Remote) -> None:
        """Handle a request."""
        self.counters["requests"] += 1
        query = parse_query(request)
        requested_service = query.get("service", self.arguments.service)
        if requested_service != self.arguments.service:
            self.counters["wrong service"] += 1
            self.journal.add("wrong", query.get("id", requested_service))
        path = get_path(request)
        handler = self._handlers.get((request.code, path))
        if handler is None:
            self.endpoint.reply(request, remote, build_message(NOT_FOUND))
        else:
            handler(request, remote, query)

    def _serve_feed(self, request: Message, remote: Remote, query):
        if request.opt.observe == 0:
            if self.slots.draining or not self.feeds.register(remote, request.token):
                self._refuse(request, remote, 1.0)
                return
            self.journal.add("feed", query.get("id", "-"))
        elif request.opt.observe == 1:
            self.feeds.deregister(remote, request.token)
        response = self.feeds.build_item()
        if request.opt.observe != 0:
            del response.opt.observe
        self.endpoint.reply(request, remote, response)

    def _serve_reel(self, request: Message, remote: Remote, query):
        reel, etag = build_reel(int(query.get("size", DEFAULT_REEL_BYTES)))

        def respond():
            self._send_block(request, remote, reel, etag)

        self._run(request, remote, query, BLOCK_WORK_S, respond, counted=False)

    def _send_block(self, request: Message, remote: Remote, body: bytes, etag: bytes):
        block = request.opt.block2
        number = block.block_number if block else 0
        exponent = min(block.size_exponent if block else BLOCK_SIZE_EXPONENT, 6)
        size = 1 << (exponent + 4)
        part = body[number * size : (number + 1) * size]
        if not part and number:
            self.endpoint.reply(request, remote, build_message(BAD_REQUEST))
            return
        more = (number + 1) * size < len(body)
        response = build_message(
            CONTENT, payload=part, etag=etag, block2=(number, more, exponent)
        )
        if number == 0:
            response.opt.size2 = len(body)
        self.endpoint.reply(request, remote, response)

    def _serve_work(self, request: Message, remote: Remote, query):
        work = float(query.get("work", self.arguments.work_ms)) / 1000
        jitter = self.arguments.jitter
        work *= self._generator.uniform(1 - jitter, 1 + jitter)
        code = CONTENT if request.code == GET else CHANGED
        payload = get_request_id(request, query).encode()

        def respond():
            self.endpoint.reply(request, remote, build_message(code, payload=payload))

        self._run(request, remote, query, work, respond, counted=True)

    def _run(self, request, remote, query, work, respond, counted):
        key = (remote, request.token)
        request_id = get_request_id(request, query)
        now = self._loop.time()
        deadline = query.get("deadline")
        expires_at = now + float(deadline) / 1000 if deadline else None
        acknowledgement = None

        def record_start():
            if counted:
                self.runs_by_id[request_id] += 1
                self.journal.add("run", request_id)

        def record_end():
            if acknowledgement is not None:
                acknowledgement.cancel()
            if counted:
                self.journal.add("done", request_id)
            respond()

        def handle_refusal(wait):
            if acknowledgement is not None:
                acknowledgement.cancel()
            self._refuse(request, remote, wait)

        if key in self.slots:
            return
        job = Job(key, work, expires_at, record_start, record_end, handle_refusal)
        if self.slots.offer(job):
            acknowledgement = self._loop.call_later(
                SEPARATE_RESPONSE_DELAY_S, self.endpoint.acknowledge, request, remote
            )

    def _refuse(self, request: Message, remote: Remote, wait: float):
        self.counters["shed"] += 1
        response = build_message(SERVICE_UNAVAILABLE, max_age=max(1, round(wait)))
        self.endpoint.reply(request, remote, response)

    def _serve_health(self, request: Message, remote: Remote, query):
        running, queued = self._get_lagging_load()
        overloaded = running >= self.slots.slots and queued >= self.arguments.queue
        if (overloaded or self.slots.draining) and not self.arguments.health_lies:
            self.endpoint.reply(request, remote, build_message(SERVICE_UNAVAILABLE))
        else:
            self.endpoint.reply(request, remote, build_message(CONTENT, payload=b"ok"))

    def _serve_load(self, request: Message, remote: Remote, query):
        running, queued = self._get_lagging_load()
        factor = self.arguments.load_factor
        load = {
            "slots": self.slots.slots,
            "running": round(running * factor),
            "queued": round(queued * factor),
        }
        payload = dumps(load).encode()
        self.endpoint.reply(request, remote, build_message(CONTENT, payload=payload))

    def sample_load(self):
        """Record the current load every 100 ms for the lagging answers."""
        now = self._loop.time()
        self._load_samples.append((now, self.slots.running, self.slots.queued))
        self._loop.call_later(0.1, self.sample_load)

    def _get_lagging_load(self):
        latest_sample_at = self._loop.time() - self.arguments.health_lag
        if not self.arguments.health_lag:
            return self.slots.running, self.slots.queued
        for at, running, queued in reversed(self._load_samples):
            if at <= latest_sample_at:
                return running, queued
        return 0, 0

    def _serve_account(self, request: Message, remote: Remote, query):
        block = request.opt.block2
        if block is None or block.block_number == 0:
            account = self.describe()
            if "brief" in query:
                del account["runs_by_id"]
            self._encoded_account = dumps(account).encode()
        etag = sha256(self._encoded_account).digest()[:ETAG_BYTES]
        self._send_block(request, remote, self._encoded_account, etag)

    def describe(self) -> dict:
        """Return the upstream's account as plain values."""
        return {
            "service": self.arguments.service,
            "slots": self.slots.slots,
            "busy_time": self.slots.busy_time,
            "finished": self.slots.finished,
            "shed": self.slots.shed,
            "cancelled": self.slots.cancelled,
            "running": self.slots.running,
            "feeds": self.feeds.count,
            "items": self.feeds.sent,
            "wrong_service": self.counters["wrong service"],
            "requests": self.counters["requests"],
            "runs_by_id": dict(self.runs_by_id),
        }

    def _serve_drain(self, request: Message, remote: Remote, query):
        self.slots.draining = query.get("on", "1") == "1"
        self.endpoint.reply(request, remote, build_message(CHANGED))

    def _serve_fault(self, request: Message, remote: Remote, query):
        self.set_fault(query)
        self.endpoint.reply(request, remote, build_message(CHANGED))

    def set_fault(self, fault: dict[str, str]) -> None:
        """Set the faults given in `fault`; keep all others.

        ``mute`` is a value of `MuteMode`, ``speed`` the new speed. Answers on
        health and load are falsified by ``lag`` (delay in seconds), ``lies``
        (1: always healthy, 0: not) and ``load`` (factor of the load).
        """
        self.endpoint.mute = MuteMode(fault.get("mute", self.endpoint.mute))
        if "speed" in fault:
            self.slots.set_speed(float(fault["speed"]))
        self.arguments.health_lag = float(fault.get("lag", self.arguments.health_lag))
        self.arguments.load_factor = float(
            fault.get("load", self.arguments.load_factor)
        )
        if "lies" in fault:
            self.arguments.health_lies = fault["lies"] == "1"

    def _serve_cancel(self, request: Message, remote: Remote, query):
        token = bytes.fromhex(query.get("token", ""))
        found = self.slots.cancel((remote, token))
        code = DELETED if found else NOT_FOUND
        self.endpoint.reply(request, remote, build_message(code))


async def run_upstream(arguments):
    """Run until a signal ends the process."""
    loop = get_running_loop()
    stopped = loop.create_future()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stopped.cancel)
    listen = parse_address(arguments.listen)
    if arguments.protocol == "datagram":
        await loop.create_datagram_endpoint(
            lambda: Echo(arguments.service, arguments.journal), local_addr=listen
        )
    else:
        upstream = Upstream(arguments, loop)
        upstream.sample_load()
        await open_endpoint(upstream.endpoint, listen)
    print("ready", flush=True)
    await stopped


def build_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(prog="demo.upstream")
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("--service", required=True)
    parser.add_argument("--protocol", choices=("coap", "datagram"), default="coap")
    parser.add_argument("--slots", type=int, default=1)
    parser.add_argument(
        "--queue", type=int, default=8, help="maximum number of waiting requests"
    )
    parser.add_argument("--connections", type=int, default=2000)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--jitter", type=float, default=0.2)
    parser.add_argument("--cold-start", type=float, default=0.0, help="seconds")
    parser.add_argument(
        "--period",
        type=float,
        default=0.5,
        help="seconds between two items of the feed",
    )
    parser.add_argument("--health-lag", type=float, default=0.0, help="seconds")
    parser.add_argument(
        "--health-lies", action="store_true", help="always report as healthy"
    )
    parser.add_argument("--load-factor", type=float, default=1.0)
    parser.add_argument("--journal", help="file of the journal")
    parser.add_argument("--seed", type=int, default=1)
    return parser


def main():
    """Run the program."""
    arguments = build_parser().parse_args()
    install()
    with suppress(CancelledError):
        run(run_upstream(arguments))


if __name__ == "__main__":
    main()
