"""Notices to other agents about the home of flows."""

from collections.abc import Iterable

from lycheeglade.agent_state import Agent, rank_flow, send_packet
from lycheeglade.flow import FlowKey
from lycheeglade.packet import HomeNotice
from lycheeglade.served_target import ServedTarget

MAX_NOTICE_CALLERS = 500


def announce_home(
    agent: Agent,
    served: ServedTarget,
    flows: Iterable[FlowKey],
    now: float,
    receivers: int = 1,
) -> None:
    """Notify the first candidates of each flow that its home is this target.

    Parameters
    ----------
    receivers : int
        Number of candidates of each flow that are notified.
    """
    callers_by_target: dict[str, list[tuple[str, int]]] = {}
    for flow in flows:
        for target in rank_flow(agent, served, flow)[:receivers]:
            if target.target_id != served.target.target_id:
                callers = callers_by_target.setdefault(target.target_id, [])
                callers.append((flow.caller_ip, flow.caller_port))
    for target_id, callers in callers_by_target.items():
        address = served.service.targets_by_id[target_id].agent
        for start in range(0, len(callers), MAX_NOTICE_CALLERS):
            notice = HomeNotice(
                served.service.name,
                target_id,
                served.target.target_id,
                tuple(callers[start : start + MAX_NOTICE_CALLERS]),
            )
            agent.actions.count("home-notice", served.service.name, "sent")
            send_packet(agent, address, notice, now)
