"""Explanation of a flow's candidates and of the targets left out."""

from collections.abc import Set
from dataclasses import dataclass

from lycheeglade.address import Address, Zone
from lycheeglade.flow import FlowKey, hash_flow
from lycheeglade.routing import (
    NO_SUSPECTS,
    ExcludedTarget,
    bucket_of,
    explain_targets,
    rank_targets,
)
from lycheeglade.view import Service, Target, View


@dataclass(frozen=True, slots=True)
class Explanation:
    """Ranked candidates of a flow and the targets that are left out.

    Attributes
    ----------
    candidates : tuple of Target
        Targets that may serve the flow, highest rank first.
    suspects : frozenset of str
        Ids of the candidates whose agents are suspected to be dead.
    excluded : tuple of ExcludedTarget
        All other targets of the service, sorted by id.
    """

    flow: FlowKey
    service: Service
    bucket: int
    candidates: tuple[Target, ...]
    suspects: frozenset[str]
    excluded: tuple[ExcludedTarget, ...]


def explain_flow(
    view: View,
    service_name: str,
    caller: Address,
    suspects: Set[str] = NO_SUSPECTS,
) -> Explanation:
    """Explain the ranking of a caller's flow.

    Parameters
    ----------
    caller : Address
        Source address of the flow's packets.
    suspects : set of str
        Ids of targets whose agents are suspected to be dead.

    Raises
    ------
    KeyError
        If the view has no service named `service_name`.
    """
    service = view.services_by_name[service_name]
    flow = FlowKey(service_name, caller.ip, caller.port)
    flow_hash = hash_flow(flow)
    candidates = rank_targets(service, flow_hash, suspects=suspects)
    return Explanation(
        flow,
        service,
        bucket_of(flow_hash),
        candidates,
        frozenset(
            target.target_id for target in candidates if target.target_id in suspects
        ),
        explain_targets(service, flow_hash, suspects=suspects),
    )


def may_carry(service: Service, zone: Zone) -> bool:
    """Return whether a balancer in `zone` may carry packets of `service`.

    A balancer in another zone doesn't bind the service's addresses. Packets
    of the service that arrive there nevertheless are dropped and counted.
    """
    return service.permits(zone)


def format_explanation(
    explanation: Explanation, balancer_zone: Zone | None = None
) -> tuple[str, ...]:
    """Return lines that present an explanation to an operator.

    Parameters
    ----------
    balancer_zone : Zone, optional
        Zone for which to state whether its balancers may carry the flow.
    """
    service = explanation.service
    lines = [
        f"flow {explanation.flow}",
        f"service {service.name} revision {service.revision}, "
        f"places {', '.join(service.places)}, bucket {explanation.bucket}",
    ]
    if balancer_zone is not None:
        lines.append(_format_balancer(service, balancer_zone))
    if not explanation.candidates:
        lines.append("no target may serve it")
    for rank, target in enumerate(explanation.candidates, start=1):
        lines.append(_format_candidate(rank, target, explanation.suspects))
    for entry in explanation.excluded:
        lines.append(f"not {_format_target(entry.target)}: {entry.exclusion}")
    return tuple(lines)


def _format_balancer(service, zone):
    if may_carry(service, zone):
        return f"a balancer in {zone} may carry it"
    return f"a balancer in {zone} drops it: the zone is not among the places"


def _format_candidate(rank, target, suspects):
    line = f"{rank}. {_format_target(target)}"
    if target.target_id in suspects:
        line += ", suspected"
    return line


def _format_target(target):
    return (
        f"{target.target_id} in {target.zone} at {target.upstream}, "
        f"weight {target.weight:g}, agent {target.agent}"
    )
