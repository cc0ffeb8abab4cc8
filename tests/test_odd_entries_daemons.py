"""No process ends, or stops following the store, beside an odd entry.

Each test runs an agent and two balancers, one of which gets its view from the
other, beside many entries of one kind.
"""

from asyncio import sleep
from asyncio import timeout as time_limit
from base64 import b64decode
from json import loads
from signal import SIGTERM
from time import monotonic

import pytest

from catalog import MAX_BORN_MS
from soak.packets import SYN
from tests.odd_entries import ENTRY, IDS, KINDS, TEXTS_BY_KIND
from tests.platform_process import fetch, is_ready
from tests.test_connection_daemon import (
    ADDED_IP,
    AGENT_IP,
    BALANCER_IP,
    ENTRY_SPREAD_S,
    METRICS_PORT,
    deployment,
    make_key,
    processes,
    put_routes,
)

__all__ = ["deployment", "processes"]

# Time within which a change has to be in force.
CHANGE_S = 3.0
# Time for which an opening is awaited before another one is sent.
ATTEMPT_S = 0.25
START_S = 5.0
OWN_KEY = "servers/i-1"
NEW_KEY = "servers/i-2"
BALANCER_IPS = {"balancer": BALANCER_IP, "added": ADDED_IP}
# The entry that is also put in place of a target's own one.
ODD_NAMES_BY_KIND = {
    "nested": "lists-2000-in-tags",
    "numbers": "400-digits-in-capacity",
    "ports": "70000-of-127.0.0.9",
}


class Trial:
    """Processes beside odd entries, and what was seen of them.

    Attributes
    ----------
    ended : list of str
        Processes that ended by themselves, with the moment.
    missed : list of str
        Changes and requests that had no effect in time, with the balancer.
    """

    def __init__(self, deployment, processes):
        self.deployment = deployment
        self.processes = processes
        self.ended = []
        self.missed = []
        self._port = 43_000
        self._found_ended = set()

    async def opens(self, ip, service_port=443):
        """Return whether an opening is accepted, None without an answer."""
        deployment = self.deployment
        self._port += 1
        key = make_key(self._port, service_port)
        deployment.send(key, SYN, 100, ip=ip)
        started_at = monotonic()
        while monotonic() - started_at < ATTEMPT_S:
            for segment in deployment.caller.segments:
                if segment.key_from_target == key:
                    return segment.opens
            await sleep(0.01)
        return None

    async def expect(self, change, service_port=443, is_open=True):
        """Record at which balancers a change is not in force in time."""
        changed_at = monotonic()
        waiting = dict(BALANCER_IPS)
        while waiting and monotonic() - changed_at < CHANGE_S:
            for role, ip in list(waiting.items()):
                if bool(await self.opens(ip, service_port)) == is_open:
                    del waiting[role]
            await sleep(0.02)
        self.missed += [f"{change} at {role}" for role in waiting]
        self.check(change)

    def check(self, moment):
        """Record which processes have ended by themselves."""
        for role, process in self.processes.items():
            is_ended = process.returncode is not None
            if is_ended and process.pid not in self._found_ended:
                self._found_ended.add(process.pid)
                self.ended.append(f"{role} after {moment}")

    async def start(self, role, ip, moment, seeds=()):
        """Start a process, and record it if it does not become ready."""
        self.processes[role] = await self.deployment.start(
            "agent" if role == "agent" else "balancer", ip, seeds=seeds
        )
        started_at = monotonic()
        while not await is_ready(ip):
            if self.processes[role].returncode is not None:
                break
            if monotonic() - started_at > START_S:
                self.missed.append(f"ready at {role} after {moment}")
                break
            await sleep(0.02)
        await sleep(ENTRY_SPREAD_S)
        self.check(moment)

    async def restart(self, role, ip, seeds=()):
        """Stop a process if it still runs, and start it again."""
        if self.processes[role].returncode is None:
            self.processes[role].send_signal(SIGTERM)
        await self.processes[role].wait()
        await self.start(role, ip, "its restart", seeds)


@pytest.fixture
async def trial(deployment, processes):
    return Trial(deployment, processes)


async def follow_changes(trial, odd_key, odd):
    """Make one change after another, and record those without effect."""
    store = trial.deployment.store
    own = loads(b64decode(store.items_by_key[OWN_KEY]["value"]))
    put_routes(trial.deployment, 2, 443, 444)
    await trial.expect("new configuration", 444)
    store.put(OWN_KEY, odd)
    await trial.expect("odd entry in place of the target's own", is_open=False)
    store.put(OWN_KEY, own)
    await trial.expect("own entry again")
    store.delete(OWN_KEY)
    await trial.expect("removed target", is_open=False)
    store.put(NEW_KEY, own)
    await trial.expect("new target")
    put_routes(trial.deployment, 3, 443)
    await trial.expect("removed route", 444, is_open=False)
    store.delete(odd_key)
    put_routes(trial.deployment, 4, 443, 445)
    await trial.expect("configuration after the deletion", 445)


async def run_beside(trial, contents_by_key, odd_key):
    """Start and restart the processes beside odd entries, and make changes."""
    for key, content in contents_by_key.items():
        trial.deployment.store.put(key, content)
    await sleep(ENTRY_SPREAD_S)
    trial.check("the entries")
    await trial.start("added", ADDED_IP, "its start", seeds=(BALANCER_IP,))
    await trial.expect("openings beside the entries")
    await trial.restart("balancer", BALANCER_IP)
    await trial.restart("agent", AGENT_IP)
    async with time_limit(60):
        await follow_changes(trial, odd_key, contents_by_key[odd_key])


@pytest.mark.parametrize("kind", KINDS)
async def test_odd_entries_end_no_process_and_leave_the_list_followed(trial, kind):
    """Balancers ended at nested entries, again after each restart."""
    contents_by_key = {
        f"servers/odd-{name}": text.encode()
        for name, text in TEXTS_BY_KIND[kind].items()
    }
    await run_beside(trial, contents_by_key, f"servers/odd-{ODD_NAMES_BY_KIND[kind]}")
    assert (trial.ended, trial.missed) == ([], [])


async def test_odd_keys_end_no_process_and_leave_the_list_followed(trial):
    """Balancers read no item beside a key that is no valid UTF-8."""
    odd = TEXTS_BY_KIND["ports"][ODD_NAMES_BY_KIND["ports"]].encode()
    contents_by_key = {f"servers/{id_}": odd for id_ in (*IDS.values(), "a\ud800")}
    await run_beside(trial, contents_by_key, "servers/a\ud800")
    assert (trial.ended, trial.missed) == ([], [])


async def test_start_in_the_far_future_leaves_the_target_in_use(trial):
    """A balancer compares it with the clock of its own host."""
    store = trial.deployment.store
    own = loads(b64decode(store.items_by_key[OWN_KEY]["value"]))
    own["born"] = ENTRY["born"]
    store.put(OWN_KEY, {**own, "state": "draining", "born": MAX_BORN_MS})
    async with time_limit(CHANGE_S):
        while b'event="target-field-ignored"' not in await fetch(
            BALANCER_IP, METRICS_PORT, "/metrics"
        ):
            await sleep(0.02)
    await trial.start("added", ADDED_IP, "its start", seeds=(BALANCER_IP,))
    store.put(OWN_KEY, own)
    await trial.expect("own entry again")
    store.delete(OWN_KEY)
    await trial.expect("removed target", is_open=False)
    store.put(NEW_KEY, own)
    await trial.expect("new target")
    assert (trial.ended, trial.missed) == ([], [])
