"""A whole deployment run as processes on this machine."""

from asyncio import get_running_loop, sleep, to_thread, wait_for
from json import dumps, loads
from pathlib import Path
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from time import time
from urllib.request import Request, urlopen

from aiocoap import CON, CONTENT, GET, Message

from demo.coap import Endpoint, build_message, open_endpoint
from demo.deployment import VALUES, Deployment, ServicePlan
from demo.fault import send_command
from demo.journal import read_journal
from demo.processes import Processes
from lycheeglade.address import Zone
from lycheeglade.configuration import HOSTS_PREFIX, SERVICE_PREFIX
from lycheeglade.view import Target

COMMAND_TIMEOUT_S = 2.0
PLATFORM_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 10.0
POLL_S = 0.05
LAST_NETWORK = 120
FIRST_NETWORK = 30
RESERVATION_PORT = 9999
FABRIC = "fabric"
PLATFORM = "platform"

_reservations_by_network: dict[int, socket] = {}


def reserve_network() -> tuple[int, socket]:
    """Return a network that no other cluster on this machine uses.

    The returned socket reserves the network until it is closed.
    """
    for network in range(FIRST_NETWORK, LAST_NETWORK):
        reservation = socket(AF_INET, SOCK_DGRAM)
        try:
            reservation.bind((f"127.{network}.0.1", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return network, reservation
    raise OSError("cannot reserve a loopback network: all of them are in use")


def reserve_network_for_process() -> int:
    """Return a free network, reserved until this process ends."""
    network, reservation = reserve_network()
    _reservations_by_network[network] = reservation
    return network


def upstream_name(target: Target) -> str:
    """Return the name of a target's upstream process."""
    return f"upstream-{target.target_id}"


class Cluster:
    """Starts, changes and ends the processes of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    folder : Path
        Directory for the settings, values, logs and journals.
    seed : int
        Seed of the fabric and the upstreams.
    alternate : bool
        Whether the fabric selects balancers round-robin instead of at random.
    """

    def __init__(self, deployment: Deployment, folder: Path, seed=1, alternate=False):
        self.deployment = deployment
        self.folder = folder
        self.seed = seed
        self.processes = Processes(folder / "logs")
        self.leaving_targets: set[str] = set()
        self.leaving_hosts: set[str] = set()
        self._alternate = alternate
        self._settings_by_host: dict[str, Path] = {}

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        self._settings_by_host = self.deployment.write(self.folder)
        self.start_platform()
        self._start_fabric()
        for service in self.deployment.services:
            for target in service.targets:
                self.start_upstream(service, target)
        await to_thread(
            self.processes.wait_listening, PLATFORM, self.deployment.platform
        )
        await to_thread(self.processes.wait_ready, FABRIC)
        for target in self.deployment.targets:
            await to_thread(self.processes.wait_ready, upstream_name(target))
            self.start_agent(target)
        for balancer in self.deployment.balancers:
            self.start_balancer(balancer)
        for target in self.deployment.targets:
            await self.wait_listening(target.host_id)
        for balancer in self.deployment.balancers:
            await self.wait_listening(balancer.host_id)
        values = len(self.deployment.value_texts_by_name)
        for host_id in self.daemon_ips_by_host:
            await self.wait_revision(host_id, values)

    async def wait_revision(
        self, host_id: str, revision: int, timeout: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until a balancer or agent reports `revision` or a later one.

        Raises
        ------
        TimeoutError
            If the host does not report it within `timeout` seconds.
        """
        loop = get_running_loop()
        stop_at = loop.time() + timeout
        while (await self.fetch_status(host_id))["revision"] < revision:
            if loop.time() > stop_at:
                raise TimeoutError(
                    f"{host_id} did not report revision {revision} in time"
                )
            await sleep(POLL_S)

    def stop(self) -> None:
        """End all processes."""
        self.processes.stop_all()

    @property
    def daemon_ips_by_host(self) -> dict[str, str]:
        """Addresses of the hosts of all balancers and agents."""
        return {
            host_id: settings.packets.ip
            for host_id, settings in self.deployment.settings_by_host.items()
        }

    async def fetch_status(self, host_id: str) -> dict:
        """Return the status of a balancer or an agent.

        Raises
        ------
        OSError
            If the host does not answer.
        """
        return loads(await self._fetch_from_operators(host_id, "status"))

    async def fetch_metrics(self, host_id: str) -> str:
        """Return the metrics of a balancer or an agent as text.

        Raises
        ------
        OSError
            If the host does not answer.
        """
        return (await self._fetch_from_operators(host_id, "metrics")).decode()

    async def _fetch_from_operators(self, host_id: str, path: str) -> bytes:
        operators = self.deployment.settings_by_host[host_id].operators

        def call():
            url = f"http://{operators}/{path}"
            with urlopen(url, timeout=COMMAND_TIMEOUT_S) as response:
                return response.read()

        return await to_thread(call)

    @property
    def platform_journal(self) -> Path:
        """Path of the file in which the platform stores its changes."""
        return self.folder / "platform.journal"

    def start_platform(self) -> None:
        """Start the platform."""
        self.processes.start(
            PLATFORM,
            "demo.platform",
            "--listen",
            str(self.deployment.platform),
            "--values",
            str(self.folder / VALUES),
            "--journal",
            str(self.platform_journal),
        )

    def start_upstream(self, service: ServicePlan, target: Target) -> None:
        """Start the upstream of one target."""
        self.processes.start(
            upstream_name(target),
            "demo.upstream",
            *("--listen", str(target.upstream)),
            *("--service", service.name),
            *("--protocol", service.protocol),
            *("--slots", str(target.slots)),
            *("--speed", f"{target.weight:g}"),
            *("--work-ms", f"{service.work_ms:g}"),
            *("--period", f"{service.period:g}"),
            *("--cold-start", f"{service.cold_start:g}"),
            *("--journal", str(self.journal(target))),
            *("--seed", str(self.seed)),
        )

    def start_agent(self, target: Target) -> None:
        """Start the agent on a target's host."""
        self._start_daemon("agent", target.host_id)

    def start_balancer(self, balancer) -> None:
        """Start a balancer."""
        self._start_daemon("balancer", balancer.host_id)

    async def wait_listening(self, host_id: str) -> None:
        """Wait until a balancer or agent listens for its operators."""
        operators = self.deployment.settings_by_host[host_id].operators
        await to_thread(self.processes.wait_listening, host_id, operators)

    def journal(self, target: Target) -> Path:
        """Return the path of a target's journal."""
        return self.folder / f"{upstream_name(target)}.journal"

    @property
    def journals(self) -> list[Path]:
        """Paths of all journals."""
        return [self.journal(target) for target in self.deployment.targets]

    async def publish(self, name: str, text: str) -> int:
        """Publish a value on the platform; return the platform's revision."""
        answer = await self._call_platform("PUT", f"/v1/values/{name}", text.encode())
        return loads(answer)["revision"]

    async def set_platform_fault(self, mode: str) -> None:
        """Set the platform's mode, see `demo.platform.Mode`."""
        await self._call_platform("POST", "/fault", dumps({"mode": mode}).encode())

    async def publish_service(self, service: ServicePlan) -> int:
        """Publish a service with its current leaving targets."""
        text = service.format_value(self.leaving_targets)
        return await self.publish(f"{SERVICE_PREFIX}{service.name}", text)

    async def publish_hosts(self, zone: Zone) -> None:
        """Publish a zone's hosts list with its current leaving hosts."""
        text = self.deployment.format_hosts_value(zone, self.leaving_hosts)
        await self.publish(f"{HOSTS_PREFIX}{zone}", text)

    async def drain_target(self, service: ServicePlan, target: Target) -> float:
        """Publish a target and its host as leaving; return the wall time."""
        self.leaving_targets.add(target.target_id)
        self.leaving_hosts.add(target.host_id)
        await self.publish_service(service)
        await self.publish_hosts(target.zone)
        return time()

    def command_fabric(self, command: str, **fields) -> dict:
        """Send a command to the fabric's control socket."""
        address = self.deployment.fabric_control
        return send_command(address, command, fields, COMMAND_TIMEOUT_S)

    async def ask_upstream(
        self, target: Target, code, path: str, query: tuple[str, ...] = ()
    ) -> Message:
        """Send a request directly to an upstream and return its answer.

        Raises
        ------
        TimeoutError
            If the upstream does not answer.
        """
        answer = get_running_loop().create_future()

        def receive_answer(message: Message, remote):
            if not answer.done():
                answer.set_result(message)

        endpoint = Endpoint(Random(self.seed), on_response=receive_answer)
        await open_endpoint(endpoint, (self.deployment.ip(0, 9), 0))
        request = build_message(
            code, mtype=CON, token=b"command", uri_path=(path,), uri_query=query
        )
        endpoint.send(request, target.upstream)
        try:
            return await wait_for(answer, COMMAND_TIMEOUT_S)
        finally:
            endpoint.close()

    async def fetch_upstream_account(self, target: Target) -> dict:
        """Fetch an upstream's account without its runs by request id.

        Raises
        ------
        TimeoutError
            If the upstream does not answer.
        ValueError
            If the upstream answers with another code than 2.05 Content.
        """
        message = await self.ask_upstream(target, GET, "account", ("brief",))
        if message.code != CONTENT:
            raise ValueError(
                f"{target.target_id} answered {message.code}, expected 2.05 Content"
            )
        return loads(message.payload)

    async def measure_busy_times(self, service: ServicePlan) -> dict[str, float]:
        """Return the running upstreams' busy seconds per slot by target id."""
        busy_by_target = {}
        for target in service.targets:
            if self.processes.is_running(upstream_name(target)):
                account = await self.fetch_upstream_account(target)
                busy_by_target[target.target_id] = (
                    account["busy_time"] / account["slots"]
                )
        return busy_by_target

    def count_late_work(self, target: Target, after: float) -> int:
        """Count runs and feeds that a target began after wall time `after`."""
        return sum(
            entry.at > after and entry.kind in ("run", "feed")
            for entry in read_journal(self.journal(target))
        )

    def _start_fabric(self):
        deployment = self.deployment
        maps = []
        for service in deployment.services:
            balancers = ",".join(
                str(balancer.listen_address(service))
                for balancer in deployment.balancers
            )
            maps += ["--map", f"{service.address}={balancers}"]
        self.processes.start(
            FABRIC,
            "demo.fabric",
            *maps,
            *("--control", str(deployment.fabric_control)),
            *("--local-ip", deployment.ip(0, 3)),
            *("--seed", str(self.seed)),
            *(("--alternate",) if self._alternate else ()),
        )

    def _start_daemon(self, role: str, host_id: str):
        path = self._settings_by_host[host_id]
        self.processes.start(host_id, "lycheeglade", role, "-c", str(path))

    async def _call_platform(self, method: str, path: str, body: bytes | None = None):
        request = Request(
            f"http://{self.deployment.platform}{path}", data=body, method=method
        )

        def call():
            with urlopen(request, timeout=PLATFORM_TIMEOUT_S) as response:
                return response.read()

        return await to_thread(call)


async def wait_until(condition, timeout: float, interval: float = POLL_S) -> bool:
    """Poll `condition`; return whether it became true within `timeout`."""
    loop = get_running_loop()
    stop_at = loop.time() + timeout
    while not condition():
        if loop.time() > stop_at:
            return False
        await sleep(interval)
    return True
