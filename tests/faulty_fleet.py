"""A simulated deployment under faults, and the effects each fault may have."""

from dataclasses import dataclass, replace

from msgspec.structs import replace as replace_struct

from demo.traces import make_service
from lycheeglade.address import Address
from lycheeglade.agent_state import Agent
from lycheeglade.configuration import format_service
from lycheeglade.home import PROBE_TIMEOUT_S
from lycheeglade.replay_caller import Caller, Result
from lycheeglade.replay_process import Process
from lycheeglade.trace import Kill, Options, Pause, Publish, Request, Resume
from tests.fleet import PLAN, SERVICE, Fleet

OTHER_SERVICE = "reel-depot"
FLOW_IDLE_S = 20.0
WINDOW_S = 30.0
HARMLESS_SILENCE_S = 4.0
LATEST_ARRIVAL_S = 2.0
SETTLE_S = 40.0
GIVE_UP_S = 60.0
NEVER_EXPLAINED = ("gap", "step-back", "repeat")
NO_FAULTS = {"loss": 0.0, "duplication": 0.0, "jitter_s": Options(at=0.0).jitter_s}


@dataclass(frozen=True, slots=True)
class Tolerance:
    """The silence towards callers that a fault may cause.

    Attributes
    ----------
    start, end : float
        Time span of the fault.
    caller_ips : frozenset of str or None
        Callers that may be affected, or None for all callers.
    seconds : float
        Longest silence that the fault explains. The callers' feeds report a
        longer one.
    """

    start: float
    end: float
    caller_ips: frozenset[str] | None
    seconds: float


class FaultyFleet(Fleet):
    """A fleet with two services that share their hosts and callers."""

    def __init__(self, seed: int = 1):
        super().__init__(seed, FLOW_IDLE_S)
        self.tolerances: list[Tolerance] = []
        self.has_failed = False
        self.slow_spans: list[tuple[float, float]] = []
        self.publish_other()
        self.advance(1.0)

    def publish_other(self) -> None:
        other = make_service(PLAN, OTHER_SERVICE, 2, 1)
        targets = {
            name: replace(target, upstream=Address(target.agent.ip, 5684))
            for name, target in other.targets_by_id.items()
        }
        addresses = (Address("127.10.0.9", 5683),)
        other = replace(other, targets_by_id=targets, addresses=addresses)
        self.revision += 1
        text = format_service(other)
        self.apply(
            Publish(
                at=0.0,
                name=f"services/{OTHER_SERVICE}",
                revision=self.revision,
                text=text,
            )
        )

    def request_other(self, caller: int, *, repeatable: bool) -> None:
        self.requests += 1
        name = f"r{self.requests}"
        event = Request(
            at=0.0,
            service=OTHER_SERVICE,
            caller=self.caller_ports[caller],
            id=name,
            repeatable=repeatable,
        )
        self.apply(event)

    def is_running(self, process: str) -> bool:
        return super().is_running(process) and not self.process(process).is_paused

    def process(self, name: str) -> Process:
        return self.world.processes_by_name[name]

    def agents(self) -> dict[str, Agent]:
        return {
            name: process.state
            for name, process in self.world.processes_by_name.items()
            if isinstance(process.state, Agent)
        }

    def find_handoff_processes(self, *, is_home: bool) -> list[str]:
        """Return the processes on one side of the handoffs in progress."""
        return [
            name
            for name, agent in self.agents().items()
            for served in agent.served_by_key.values()
            if (served.outgoing_by_id if is_home else served.incoming_by_flow)
        ]

    def home_of(self, caller: int) -> str | None:
        """Return the published target that is the home of a caller's feed."""
        flow = self.world.callers_by_name[SERVICE, self.caller_ports[caller]].flow
        for agent in self.agents().values():
            for served in agent.served_by_key.values():
                name = served.target.target_id
                if flow in served.records_by_flow:
                    return name if name in self.service.targets_by_id else None
        return None

    def callers_at(self, name: str) -> frozenset[str]:
        """Return the callers with a flow or a handoff at a process."""
        agent = self.agents().get(name)
        if agent is None:
            return frozenset()
        return frozenset(
            flow.caller_ip
            for served in agent.served_by_key.values()
            for flow in (
                *served.records_by_flow,
                *served.incoming_by_flow,
                *(handoff.flow for handoff in served.outgoing_by_id.values()),
            )
        )

    def tolerate_silence(
        self, end: float, caller_ips: frozenset[str] | None, seconds: float
    ):
        now = self.world.now
        self.tolerances.append(Tolerance(now, now + end, caller_ips, seconds))

    def is_last_balancer(self, name: str) -> bool:
        """Return whether a process is the only running balancer."""
        carrying = [
            name
            for name in self.process_names
            if name not in self.agents() and self.is_running(name)
        ]
        return carrying == [name]

    def kill(self, name: str, down: float) -> None:
        """Kill a process and restart it without state after `down` seconds."""
        self.tolerate_silence(down, self.callers_at(name), WINDOW_S)
        self.apply(Kill(at=0.0, process=name))
        self.call_later(
            down, lambda now: None if self.is_up(name) else self.start(name)
        )

    def is_up(self, name: str) -> bool:
        return self.process(name).is_alive

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process; datagrams that arrive meanwhile are queued."""
        process = self.process(name)
        if not process.is_alive or process.is_paused:
            return
        self.tolerate_silence(seconds, self.callers_at(name), seconds)
        self.apply(Pause(at=0.0, process=name))
        self.call_later(seconds, lambda now: self.resume(name, process))

    def resume(self, name: str, process: Process) -> None:
        if self.process(name) is process and process.is_paused:
            self.apply(Resume(at=0.0, process=name))

    def call_later(self, seconds: float, action) -> None:
        self.world.timers.call_at(self.world.now + seconds, action)

    def disturb_network(
        self,
        seconds: float,
        jitter_s: float,
        duplication: float = 0.0,
        loss: float = 0.0,
    ) -> None:
        """Lose, duplicate, delay and reorder datagrams for `seconds`."""
        if loss:
            self.tolerate_silence(seconds, None, WINDOW_S)
        if 2 * jitter_s > PROBE_TIMEOUT_S:
            self.slow_spans.append((self.world.now, self.world.now + seconds))
        self.world.options = changed = replace_struct(
            self.world.options, jitter_s=jitter_s, duplication=duplication, loss=loss
        )

        def end(now: float) -> None:
            if self.world.options is changed:
                self.world.options = replace_struct(changed, **NO_FAULTS)

        self.call_later(seconds, end)

    def is_silence_explained(self, caller: Caller, since: float, until: float) -> bool:
        """Return whether faults explain a silence towards a caller."""
        seconds = sum(
            tolerance.seconds
            for tolerance in self.tolerances
            if tolerance.start <= until
            and tolerance.end >= since
            and (
                tolerance.caller_ips is None
                or caller.flow.caller_ip in tolerance.caller_ips
            )
        )
        return seconds > HARMLESS_SILENCE_S

    def is_slow(self, since: float, until: float) -> bool:
        """Return whether an agent may have opened a flow that has a home.

        An agent opens a flow after `PROBE_TIMEOUT_S` without a reply to its
        probes, and a slow network delays replies for longer. The outcome of a
        ticket of the second home is then unknown.
        """
        return any(
            start - LATEST_ARRIVAL_S <= until and end + LATEST_ARRIVAL_S >= since
            for start, end in self.slow_spans
        )

    def check_feeds(self) -> None:
        faults = [
            (caller.flow, round(at, 3), reason)
            for caller in self.world.callers_by_flow.values()
            if caller.feed is not None
            for at, reason in caller.feed.faults
            if reason in NEVER_EXPLAINED
            or not self.is_silence_explained(caller, at - WINDOW_S, at)
        ]
        assert not faults, faults

    def check_requests(self) -> None:
        """Require that callers' results are correct, or lost by a fault."""
        ran = {
            run.request_id
            for upstream in self.world.upstreams_by_key.values()
            for run in upstream.runs
        }
        faults = []
        for caller in self.world.callers_by_flow.values():
            for request in caller.requests:
                result = request.result
                is_lost = result in (Result.UNKNOWN, Result.GIVEN_UP)
                may_be_lost = is_lost and (
                    self.is_silence_explained(
                        caller, request.sent_at - WINDOW_S, request.finished_at
                    )
                    or self.is_slow(request.sent_at, request.finished_at)
                )
                is_false = result is Result.NOT_RUN and request.request_id in ran
                is_bad = result in (None, Result.WRONG) or is_false
                if is_bad or (is_lost and not may_be_lost):
                    faults.append((caller.flow, request.request_id, result))
        assert not faults, faults

    def has_unfinished_requests(self) -> bool:
        return any(
            request.result is None
            for caller in self.world.callers_by_flow.values()
            for request in caller.requests
        )

    def check_homes(self) -> None:
        """Require one home for each feed, and no handoff in progress.

        Nothing is required while no target is live: a leaving target then
        keeps offering its flows.
        """
        if not self.count_usable_targets(self.service):
            return
        for caller in self.world.callers_by_flow.values():
            if caller.feed is None:
                continue
            homes = [
                name
                for name, agent in self.agents().items()
                for served in agent.served_by_key.values()
                if caller.flow in served.records_by_flow
                and served.records_by_flow[caller.flow].feeds_by_token
            ]
            assert len(homes) == 1, (caller.flow, homes)
        assert not self.find_handoff_processes(is_home=True), "a handoff never ends"
        assert not self.find_handoff_processes(is_home=False), "a handoff never ends"

    def check_always(self) -> None:
        """Check the invariants that hold at any time."""
        self.has_failed = True
        if not self.count_usable_targets(self.service):
            # No target can take any flow.
            self.tolerate_silence(0.0, None, WINDOW_S)
        self.check(("misdeliveries", "double-runs", "false-refusals"))
        self.check_feeds()
        self.has_failed = False

    def heal(self) -> None:
        """End all faults, and start or resume all processes."""
        self.world.options = replace_struct(self.world.options, **NO_FAULTS)
        for name, process in list(self.world.processes_by_name.items()):
            if not process.is_alive:
                self.start(name)
            else:
                self.resume(name, process)

    def settle(self) -> None:
        self.heal()
        self.advance(SETTLE_S)
        if self.has_unfinished_requests():
            self.advance(GIVE_UP_S)
        self.check_always()
        self.check(("answered-without-run", "stale-feeds", "reverted-values"))
        self.check_requests()
        self.check_homes()
