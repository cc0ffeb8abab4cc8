"""Load balancing policies: those of Lycheeglade and baselines."""

from bench.fairness_model import HOP_S
from lycheeglade.admission import START, Queued, Start
from lycheeglade.flow import FlowKey, hash_flow
from lycheeglade.placement import (
    ACCEPT,
    MAX_DELEGATIONS,
    OFFER_BURST,
    OFFERS_PER_REQUEST,
    REOFFER_INTERVAL_S,
    DelegateTo,
    accept_delegated,
    place_flow,
    place_request,
)
from lycheeglade.retry import RetryBudget
from lycheeglade.routing import rank_targets

BALANCER_SHARES = (0.5, 0.3, 0.2)
REPORT_LAG_S = 5.0
FALSE_REPORTERS = (1, 6)


class Policy:
    """Base class that offers requests to admission and counts outcomes."""

    deadline_check = True

    def __init__(self, clock, service, upstreams, generator):
        self.clock = clock
        self.service = service
        self.upstreams = upstreams
        self.generator = generator
        self.caller_ip = f"127.0.0.{generator.randrange(1, 255)}"
        self.answered = 0
        self.late = 0
        self.refused = 0
        self.refused_with_free_slot = 0
        self.delegations = 0
        self.latencies = []
        clock.after(0.05, self.expire)

    def open_flow(self, flow):
        """Choose the flow's home."""

    def rank(self, flow):
        """Return the indices of the flow's candidates in order of rank."""
        key = FlowKey(self.service.name, self.caller_ip, flow.number)
        return [int(t.target_id) for t in rank_targets(self.service, hash_flow(key))]

    def offer(self, index, request):
        """Offer a request to the admission of upstream `index`."""
        upstream = self.upstreams[index]
        now = self.clock.now
        deadline = request.deadline if self.deadline_check else now + 1e9
        answer = upstream.admission.offer(request.number, now, deadline)
        request.on_finish = request.on_finish or self.record_answer
        if isinstance(answer, Start):
            upstream.start(request)
        elif isinstance(answer, Queued):
            upstream.waiting[request.number] = request
        else:
            self.record_refusal()

    def record_refusal(self):
        """Count a refusal, and whether any upstream had a free slot."""
        self.refused += 1
        now = self.clock.now
        if any(u.admission.load(now).free_slots for u in self.upstreams):
            self.refused_with_free_slot += 1

    def record_answer(self, request):
        """Count an answer and record its latency."""
        self.answered += 1
        self.latencies.append(self.clock.now - request.sent_at)
        if self.clock.now > request.deadline:
            self.late += 1

    def expire(self):
        """Refuse queued requests that can't meet their deadline."""
        for upstream in self.upstreams:
            for _ in upstream.expire():
                self.record_refusal()
        self.clock.after(0.05, self.expire)


class RoundRobin(Policy):
    """Sends each request to the next upstream in turn."""

    deadline_check = False
    next_index = 0

    def send(self, request):
        """Send a request."""
        self.offer(self.next_index, request)
        self.next_index = (self.next_index + 1) % len(self.upstreams)


class Rendezvous(Policy):
    """Sends all requests of a flow to its first candidate."""

    deadline_check = False

    def open_flow(self, flow):
        """Choose the flow's home."""
        flow.home = self.rank(flow)[0]

    def send(self, request):
        """Send a request."""
        self.offer(request.flow.home, request)


class LeastOutstanding(Policy):
    """Sends each request where its balancer has the fewest outstanding."""

    deadline_check = False

    def __init__(self, *args):
        super().__init__(*args)
        self.outstanding = [[0] * len(self.upstreams) for _ in BALANCER_SHARES]

    def send(self, request):
        """Send a request through a random balancer."""
        balancers = range(len(BALANCER_SHARES))
        balancer = self.generator.choices(balancers, BALANCER_SHARES)[0]
        counts = self.outstanding[balancer]
        index = min(
            range(len(counts)), key=lambda i: (counts[i], self.generator.random())
        )
        counts[index] += 1

        def handle_finish(request):
            counts[index] -= 1
            self.record_answer(request)

        request.on_finish = handle_finish
        refused = self.refused
        self.offer(index, request)
        counts[index] -= self.refused - refused


class LeastReported(Policy):
    """Uses delayed load reports; two upstreams always report no load."""

    deadline_check = False

    def __init__(self, *args):
        super().__init__(*args)
        self.reports = [0.0] * len(self.upstreams)
        self.report()

    def report(self):
        """Read the load reports of all upstreams."""
        now = self.clock.now
        for index, upstream in enumerate(self.upstreams):
            load = upstream.admission.load(now)
            self.reports[index] = load.running + load.queued
            if index in FALSE_REPORTERS:
                self.reports[index] = 0
        self.clock.after(REPORT_LAG_S, self.report)

    def send(self, request):
        """Send a request to the less loaded of two random upstreams."""
        pair = self.generator.sample(range(len(self.upstreams)), 2)
        self.offer(min(pair, key=self.reports.__getitem__), request)


class Product(Policy):
    """Lycheeglade's placement of flows and delegation of requests."""

    places_flows = True
    delegates = True

    def __init__(self, *args):
        super().__init__(*args)
        self.budgets = [
            RetryBudget(OFFERS_PER_REQUEST, OFFER_BURST) for _ in self.upstreams
        ]
        if self.delegates:
            self.clock.after(REOFFER_INTERVAL_S, self.reoffer)
        self.ids = [str(index) for index in range(len(self.upstreams))]

    def open_flow(self, flow):
        """Choose the flow's home."""
        candidates = self.rank(flow)
        flow.home = candidates[0]
        if not self.places_flows:
            return
        now = self.clock.now
        upstream = self.upstreams[flow.home]
        if not self.delegates:
            self.record_loads(upstream, candidates, now)
        placed = place_flow(
            upstream.admission.load(now),
            0,
            [str(index) for index in candidates],
            upstream.peer_loads,
            now,
        )
        if placed is not ACCEPT:
            flow.home = candidates[placed.index]

    def record_loads(self, upstream, candidates, now):
        """Record the candidates' loads at an upstream, as probes would."""
        for index in candidates:
            busy = self.upstreams[index].admission.load(now).busy
            upstream.peer_loads.record(str(index), busy, now)

    def send(self, request):
        """Send a request to its flow's home."""
        self.budgets[request.flow.home].record_attempt()
        self.place(request)

    def place(self, request):
        """Run a request at its home or delegate it to a peer."""
        now = self.clock.now
        home = request.flow.home
        upstream = self.upstreams[home]
        load = upstream.admission.load(now)
        if not self.delegates:
            self.offer(home, request)
            return
        peers = [i for i in self.ids if int(i) != home and int(i) not in request.tried]
        placed = place_request(
            load,
            peers,
            upstream.peer_loads,
            len(request.tried),
            now,
            self.generator,
        )
        if isinstance(placed, DelegateTo) and self.budgets[home].try_acquire():
            self.delegations += 1
            peer = int(placed.target_id)
            full = load.free_slots == 0
            self.clock.after(
                HOP_S, lambda: self.delegate(request, peer, load.busy, full)
            )
            return
        self.offer(home, request)

    def reoffer(self):
        """Offer each upstream's next queued request to a peer again."""
        for home, upstream in enumerate(self.upstreams):
            number = upstream.admission.next_queued()
            if number is None or upstream.waiting[number].flow.home != home:
                continue
            if not self.may_reoffer(upstream.waiting[number]):
                continue
            request = upstream.waiting.pop(number)
            upstream.admission.cancel(number, self.clock.now)
            request.tried = request.tried[-MAX_DELEGATIONS + 1 :]
            self.place(request)
        self.clock.after(REOFFER_INTERVAL_S, self.reoffer)

    def may_reoffer(self, request):
        """Return whether a queued request may be offered to a peer."""
        return True

    def delegate(self, request, peer, home_busy, full):
        """Run a request at a peer, or return it to its home."""
        now = self.clock.now
        home = request.flow.home
        upstream = self.upstreams[peer]
        upstream.peer_loads.record(str(home), home_busy, now)
        load = upstream.admission.load(now)
        self.clock.after(
            HOP_S,
            lambda: self.upstreams[home].peer_loads.record(
                str(peer), load.busy, self.clock.now
            ),
        )
        if accept_delegated(load, home_busy, full):
            answer = upstream.admission.offer(request.number, now, request.deadline)
            if answer == START:
                request.on_finish = self.record_answer
                upstream.start(request)
                return
            upstream.admission.cancel(request.number, now)
        request.tried.append(peer)
        self.clock.after(HOP_S, lambda: self.place(request))


class FlowsOnly(Product):
    """Places flows by load, but delegates no requests."""

    delegates = False


class RequestsOnly(Product):
    """Delegates requests, but places flows by rank alone."""

    places_flows = False


class RepeatableOnly(Product):
    """Delegates only repeatable requests, which are half of all requests."""

    def place(self, request):
        """Run every second request, which isn't repeatable, at its home."""
        if request.number % 2:
            self.offer(request.flow.home, request)
        else:
            super().place(request)

    def may_reoffer(self, request):
        """Return whether a queued request may be offered to a peer."""
        return request.number % 2 == 0
