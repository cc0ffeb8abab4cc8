"""An agent without sockets, and a recorder of its actions."""

from aiocoap import Code, Message, Type

from lycheeglade.address import Address, Zone
from lycheeglade.agent_state import AgentActions
from lycheeglade.packet import Answer
from lycheeglade.served_target import TargetKey
from lycheeglade.view import Host, Protocol, Role, Service, Target, View

LOCAL_ZONE = Zone("viti-west", "nadi-a")
AGENT = Address("127.2.0.1", 7100)
BALANCER = Address("127.1.0.1", 7100)
TARGET_KEY = TargetKey("booth-sync", "t1")


class ActionRecorder:
    def __init__(self):
        self.sent = []
        self.upstream = []
        self.counts = {}

    def actions(self):
        return AgentActions(
            send=lambda address, packet: self.sent.append((address, packet)),
            send_upstream=lambda key, flow, datagram: self.upstream.append(
                (key, datagram)
            ),
            close_upstream=lambda key, flow: None,
            count=self.count,
            record=lambda service, work, stage, seconds: None,
        )

    def count(self, name, service, cause):
        self.counts[name, cause] = self.counts.get((name, cause), 0) + 1

    def answers(self):
        return [packet for _, packet in self.sent if isinstance(packet, Answer)]


def make_view(revision=1, places=("viti-west",), upstream_port=5683):
    target = Target(
        "t1", "h1", LOCAL_ZONE, AGENT, Address("127.2.0.1", upstream_port), slots=1
    )
    service = Service(
        "booth-sync",
        "reelbure",
        revision,
        Protocol.COAP,
        (Address("127.10.0.1", 5683),),
        places,
        {"t1": target},
        flow_idle=60.0,
    )
    hosts = {
        "h1": Host("h1", Role.AGENT, LOCAL_ZONE, AGENT, AGENT),
        "b1": Host("b1", Role.BALANCER, LOCAL_ZONE, BALANCER, BALANCER),
    }
    return View(revision, {"booth-sync": service}, hosts)


def make_get_request(message_id=1):
    message = Message(code=Code.GET, uri_path=("status",))
    message.mtype, message.mid, message.token = Type.CON, message_id, b"\x01"
    return message.encode()
