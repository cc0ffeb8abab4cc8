"""The two users' deployments on loopback addresses, one a host.

A deployment lives in ``127.NETWORK.0.0/16``: the platform at ``.0.2``, the
fabric at ``.0.3``, the callers at ``.0.9``, services at ``.10.N``, balancers
at ``.1.N`` and the upstream hosts of zone ``Z`` at ``.(20 + Z).N``.
"""

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from lycheeglade.address import Address

PACKETS_PORT = 7100
CONTROL_PORT = 7200
OPERATORS_PORT = 7300
SERVICE_PORT = 5683
PLATFORM_PORT = 8080
FABRIC_CONTROL_PORT = 9000
DEFAULT_NETWORK = 20


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """One upstream of a deployment."""

    target_id: str
    host_id: str
    zone: str
    ip: str
    speed: float
    slots: int

    @property
    def upstream(self) -> Address:
        """Address of the upstream."""
        return Address(self.ip, SERVICE_PORT)


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service of a deployment.

    Attributes
    ----------
    work_ms : float
        Work of a small request at speed 1.
    period, heartbeat : float
        Seconds between two items of the feed, and within which it speaks.
    """

    name: str
    tenant: str
    address: Address
    targets: tuple[TargetPlan, ...]
    work_ms: float
    period: float = 0.5
    heartbeat: float = 2.0
    cold_start: float = 2.0
    grace: float = 10.0
    request_timeout: float = 10.0
    protocol: str = "coap"


@dataclass(frozen=True, slots=True)
class BalancerPlan:
    """One entry host of a deployment."""

    host_id: str
    zone: str
    ip: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """A region with its services, upstream hosts and balancers."""

    name: str
    network: int
    region: str
    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: tuple[BalancerPlan, ...]

    def ip(self, third: int, fourth: int) -> str:
        """Return an address of the deployment's network."""
        return f"127.{self.network}.{third}.{fourth}"

    @property
    def platform(self) -> Address:
        """Address of the platform."""
        return Address(self.ip(0, 2), PLATFORM_PORT)

    @property
    def fabric_control(self) -> Address:
        """Control socket of the fabric."""
        return Address(self.ip(0, 3), FABRIC_CONTROL_PORT)

    @property
    def targets(self) -> tuple[TargetPlan, ...]:
        """All targets of all services."""
        return tuple(target for service in self.services for target in service.targets)

    def listen_address(self, balancer: BalancerPlan, service: ServicePlan) -> Address:
        """Return where a balancer receives a service's packets."""
        return Address(balancer.ip, SERVICE_PORT + self.services.index(service))


def _plan_targets(name, network, zones, speeds, slots, first_host):
    targets = []
    for index, speed in enumerate(speeds):
        zone_index = index % len(zones)
        zone = zones[zone_index]
        number = first_host + index
        host_id = f"{zone}-{name}-{number}"
        ip = f"127.{network}.{20 + zone_index}.{number}"
        target_id = f"{zone}-{number}"
        targets.append(TargetPlan(target_id, host_id, zone, ip, speed, slots))
    return tuple(targets)


def _plan_balancers(network, zones, count):
    balancers = []
    for number in range(1, count + 1):
        zone = zones[(number - 1) % len(zones)]
        host_id = f"{zone}-balancer-{number}"
        balancers.append(BalancerPlan(host_id, zone, f"127.{network}.1.{number}"))
    return tuple(balancers)


def plan_reelbure(network: int = DEFAULT_NETWORK, balancers: int = 3) -> Deployment:
    """Return Reelbure's deployment: booth-sync and reel-depot."""
    zones = ("nadi-a", "nadi-b", "lautoka-a", "lautoka-b")
    booth_speeds = (2.0, 1.6, 1.2, 1.0, 0.8, 0.6, 0.4)
    depot_speeds = (2.0, 1.2, 0.8, 0.4)
    services = (
        ServicePlan(
            "booth-sync",
            "reelbure",
            Address(f"127.{network}.10.1", SERVICE_PORT),
            _plan_targets("booth-sync", network, zones, booth_speeds, 1, 1),
            work_ms=10.0,
        ),
        ServicePlan(
            "reel-depot",
            "reelbure",
            Address(f"127.{network}.10.2", SERVICE_PORT),
            _plan_targets("reel-depot", network, zones, depot_speeds, 1, 11),
            work_ms=10.0,
        ),
    )
    plan = _plan_balancers(network, zones, balancers)
    return Deployment("reelbure", network, "viti-west", zones, services, plan)


def plan_wayfarer(network: int = DEFAULT_NETWORK, balancers: int = 3) -> Deployment:
    """Return Wayfarer's deployment: phrasebook and pronounce."""
    zones = ("wa-south-a", "wa-south-b", "wa-south-c")
    phrase_speeds = (2.0, 1.6, 1.2, 1.0, 0.8, 0.6, 0.4)
    audio_speeds = (2.0, 1.0, 0.4)
    services = (
        ServicePlan(
            "phrasebook",
            "wayfarer",
            Address(f"127.{network}.10.1", SERVICE_PORT),
            _plan_targets("phrasebook", network, zones, phrase_speeds, 3, 1),
            work_ms=30.0,
        ),
        ServicePlan(
            "pronounce",
            "wayfarer",
            Address(f"127.{network}.10.2", SERVICE_PORT),
            _plan_targets("pronounce", network, zones, audio_speeds, 3, 11),
            work_ms=30.0,
        ),
    )
    plan = _plan_balancers(network, zones, balancers)
    return Deployment("wayfarer", network, "wa-south", zones, services, plan)


PLANS_BY_NAME = {"reelbure": plan_reelbure, "wayfarer": plan_wayfarer}


def format_service_value(
    deployment: Deployment, service: ServicePlan, leaving: Collection[str] = ()
) -> str:
    """Return the published value of `service`; `leaving` holds target ids."""
    lines = [
        "[service]",
        f"name = {service.name}",
        f"tenant = {service.tenant}",
        f"protocol = {service.protocol}",
        f"addresses = {service.address}",
        f"places = {deployment.region}",
        f"request_timeout_s = {service.request_timeout:g}",
        f"heartbeat_s = {service.heartbeat:g}",
        f"cold_start_s = {service.cold_start:g}",
        f"grace_s = {service.grace:g}",
    ]
    for target in service.targets:
        lines += [
            "",
            f"[target {target.target_id}]",
            f"host = {target.host_id}",
            f"zone = {deployment.region}/{target.zone}",
            f"agent = {target.ip}:{PACKETS_PORT}",
            f"upstream = {target.upstream}",
            f"weight = {target.speed:g}",
            f"slots = {target.slots}",
            "connections = 2000",
            f"state = {'leaving' if target.target_id in leaving else 'live'}",
        ]
    return "\n".join(lines) + "\n"


def _hosts_of(deployment: Deployment, zone: str):
    for balancer in deployment.balancers:
        if balancer.zone == zone:
            yield balancer.host_id, "balancer", balancer.ip
    for target in deployment.targets:
        if target.zone == zone:
            yield target.host_id, "agent", target.ip


def format_hosts_value(
    deployment: Deployment, zone: str, leaving: Collection[str] = ()
) -> str:
    """Return the hosts list of `zone`; `leaving` holds host ids."""
    sections = []
    for host_id, role, ip in _hosts_of(deployment, zone):
        sections.append(
            f"[host {host_id}]\n"
            f"role = {role}\n"
            f"zone = {deployment.region}/{zone}\n"
            f"packets = {ip}:{PACKETS_PORT}\n"
            f"control = {ip}:{CONTROL_PORT}\n"
            f"state = {'leaving' if host_id in leaving else 'live'}\n"
        )
    return "\n".join(sections)


def format_settings(
    deployment: Deployment,
    host_id: str,
    seeds: Collection[str] = (),
    log_level: str = "info",
) -> str:
    """Return the settings of the process on `host_id`."""
    for zone in deployment.zones:
        for known_id, role, ip in _hosts_of(deployment, zone):
            if known_id == host_id:
                return _format_settings(
                    deployment, host_id, role, zone, ip, seeds, log_level
                )
    raise KeyError(host_id)


def _format_settings(deployment, host_id, role, zone, ip, seeds, log_level):
    sections = [
        f"[process]\nrole = {role}\nhost = {host_id}\n"
        f"zone = {deployment.region}/{zone}\n"
        f"packets = {ip}:{PACKETS_PORT}\n"
        f"control = {ip}:{CONTROL_PORT}\n"
        f"operators = {ip}:{OPERATORS_PORT}\n",
        f"[platform]\nurl = http://{deployment.platform}\n",
        f"[log]\nlevel = {log_level}\n",
    ]
    if seeds:
        sections.append(f"[seeds]\ncontrol = {', '.join(seeds)}\n")
    if role == "balancer":
        balancer = next(
            item for item in deployment.balancers if item.host_id == host_id
        )
        lines = [
            f"{service.name} = {deployment.listen_address(balancer, service)}"
            for service in deployment.services
        ]
        sections.append("[listen]\n" + "\n".join(lines) + "\n")
    return "\n".join(sections)


def write_values(deployment: Deployment, folder: Path) -> None:
    """Write all published values below `folder`."""
    for service in deployment.services:
        path = folder / "services" / f"{service.name}.ini"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(format_service_value(deployment, service))
    for zone in deployment.zones:
        path = folder / "hosts" / deployment.region / f"{zone}.ini"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(format_hosts_value(deployment, zone))


def write_settings(deployment: Deployment, folder: Path) -> dict[str, Path]:
    """Write the settings of every host; return the paths by host id."""
    folder.mkdir(parents=True, exist_ok=True)
    paths_by_host = {}
    seeds = [f"{balancer.ip}:{CONTROL_PORT}" for balancer in deployment.balancers]
    for zone in deployment.zones:
        for host_id, _role, _ip in _hosts_of(deployment, zone):
            path = folder / f"{host_id}.ini"
            path.write_text(format_settings(deployment, host_id, seeds))
            paths_by_host[host_id] = path
    return paths_by_host
