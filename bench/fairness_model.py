"""Simulates upstreams, agents and callers in virtual time."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.admission import Admission, AdmissionLimits
from lycheeglade.concurrency import SharingLimit
from lycheeglade.placement import PeerLoads
from lycheeglade.view import Protocol, Service, Target

HOP_S = 0.001
SPEEDS = (5.0, 4.0, 3.0, 2.5, 2.0, 1.5, 1.0)


@dataclass(frozen=True, slots=True)
class Workload:
    """Workload of one service.

    Attributes
    ----------
    service_time_s : float
        Mean service time in seconds at an upstream of speed 1.
    flows : int
        Number of flows open at the same time.
    flow_lifetime : float
        Mean lifetime of a flow in seconds.
    rate_sigma : float
        Sigma of the lognormal distribution of the flows' request rates.
    timeout : float
        Seconds after which an answer is late.
    interference : float
        Relative slowdown by each other request running at the upstream.
    weak_interference : float
        `interference` of the two slowest upstreams.
    """

    name: str
    slots: int
    service_time_s: float
    flows: int
    flow_lifetime: float
    rate_sigma: float
    timeout: float
    interference: float = 0.1
    weak_interference: float = 0.1


class FixedLimit:
    """Concurrency limit that is always the number of slots."""

    def __init__(self, slots):
        self.current = float(slots)

    def observe(self, elapsed, concurrency, slowdown):
        """Ignore a response time."""

    def record_failure(self):
        """Ignore a failure."""


@dataclass(slots=True)
class Flow:
    """An open flow and the target that is its home."""

    number: int
    rate: float
    closes_at: float
    home: int = -1


@dataclass(slots=True)
class Request:
    """A request that has no outcome yet."""

    number: int
    flow: Flow
    work: float
    sent_at: float
    deadline: float
    tried: list[int] = field(default_factory=list)
    on_finish: object = None


class Clock:
    """Event queue with a virtual clock."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._numbers = count()

    def after(self, delay, action):
        """Schedule `action` in `delay` seconds."""
        heappush(self._events, (self.now + delay, next(self._numbers), action))

    def run(self, until):
        """Run all events up to time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()
        self.now = until


class Upstream:
    """An upstream with few slots behind Lycheeglade's admission."""

    def __init__(
        self, clock, workload, speed, weak, generator, make_limit=SharingLimit
    ):
        self.clock = clock
        self.workload = workload
        self.speed = speed
        self.interference = (
            workload.weak_interference if weak else workload.interference
        )
        limits = AdmissionLimits(slots=workload.slots)
        self.admission = Admission(limits, 0.0, generator, make_limit)
        self.peer_loads = PeerLoads()
        self.waiting = {}
        self.running = 0
        self.busy_time = 0.0
        self.shed = 0

    def start(self, request):
        """Run a request that got a slot."""
        slowdown = 1 + self.interference * self.running
        duration = request.work * self.workload.service_time_s / self.speed * slowdown
        self.running += 1
        self.clock.after(duration, lambda: self.finish(request, duration))

    def finish(self, request, duration):
        """Finish a request and start queued requests that get a slot."""
        self.running -= 1
        self.busy_time += duration
        now = self.clock.now
        self.admission.finish(request.number, now)
        request.on_finish(request)
        self.start_next()

    def start_next(self):
        """Start the queued requests that admission allows."""
        for number in self.admission.start_next(self.clock.now):
            self.start(self.waiting.pop(number))

    def expire(self):
        """Return queued requests that can't meet their deadline."""
        numbers = self.admission.expire(self.clock.now)
        return [self.waiting.pop(number) for number in numbers]


def make_service(workload, weights):
    """Return a service with one target for each weight."""
    zones = ("a", "b", "c")
    targets = {}
    for index, weight in enumerate(weights):
        address = Address("127.0.0.1", 1000 + index)
        targets[str(index)] = Target(
            target_id=str(index),
            host_id=str(index),
            zone=Zone("wa-south", zones[index % 3]),
            agent=address,
            upstream=address,
            weight=weight,
            slots=workload.slots,
        )
    return Service(
        name=workload.name,
        tenant="bench",
        revision=1,
        protocol=Protocol.COAP,
        addresses=(),
        places=("wa-south",),
        targets_by_id=targets,
    )


class Callers:
    """Opens flows and sends requests at a share of the upstreams' capacity."""

    def __init__(self, clock, workload, load, generator: Random, open_flow, send):
        self.clock = clock
        self.workload = workload
        self.generator = generator
        self.open_flow = open_flow
        self.send = send
        self.numbers = count()
        self.flow_numbers = count()
        capacity = workload.slots * sum(SPEEDS) / workload.service_time_s
        self.mean_rate = load * capacity / workload.flows
        for _ in range(workload.flows):
            self.open()

    def open(self):
        """Open a flow, which is replaced by a new one when it closes."""
        sigma = self.workload.rate_sigma
        rate = self.mean_rate * self.generator.lognormvariate(-(sigma**2) / 2, sigma)
        lifetime = self.generator.expovariate(1 / self.workload.flow_lifetime)
        flow = Flow(next(self.flow_numbers), rate, self.clock.now + lifetime)
        self.open_flow(flow)
        self.clock.after(lifetime, self.open)
        self.schedule(flow)

    def schedule(self, flow):
        """Schedule the flow's next request, unless the flow closes earlier."""
        delay = self.generator.expovariate(flow.rate)
        if self.clock.now + delay < flow.closes_at:
            self.clock.after(delay, lambda: self.request(flow))

    def request(self, flow):
        """Send one request of a flow and schedule the next."""
        now = self.clock.now
        work = self.generator.lognormvariate(-0.125, 0.5)
        request = Request(
            next(self.numbers), flow, work, now, now + self.workload.timeout
        )
        self.send(request)
        self.schedule(flow)
