"""Cluster whose datagrams between processes pass through a relay."""

from demo.cluster import COMMAND_TIMEOUT_S, Cluster
from demo.deployment import VALUES
from demo.fault import send_command

RELAY = "relay"
PACKETS_PORT = 7100
RELAY_PORT = 7150
ANY = "*"


class RelayedCluster(Cluster):
    """Cluster that publishes addresses of the relay for all processes."""

    def start_platform(self) -> None:
        """Start the relay, then the platform with the relay's addresses."""
        for path in (self.folder / VALUES).rglob("*.ini"):
            path.write_text(replace_ports(path.read_text()))
        settings = self.deployment.settings_by_host.values()
        assert {each.packets.port for each in settings} == {PACKETS_PORT}
        self.processes.start(
            RELAY,
            "demo.relay",
            *("--hosts", ",".join(self.daemon_ips_by_host.values())),
            *("--packets-port", str(PACKETS_PORT)),
            *("--port", str(RELAY_PORT)),
            *("--control", "{}:{}".format(*self.relay_control)),
            *("--seed", str(self.seed)),
        )
        self.processes.wait_ready(RELAY)
        super().start_platform()

    @property
    def relay_control(self) -> tuple[str, int]:
        """Address of the relay's control socket."""
        return self.deployment.ip(0, 4), self.deployment.fabric_control.port

    async def publish(self, name: str, text: str) -> int:
        """Publish a value with the relay's addresses."""
        return await super().publish(name, replace_ports(text))

    def command_relay(self, command: str, **fields) -> dict:
        """Send a command to the relay's control socket."""
        return send_command(self.relay_control, command, fields, COMMAND_TIMEOUT_S)

    def cut(self, from_ip: str, to_ip: str) -> None:
        """Drop all datagrams in one direction."""
        self.set_fault(from_ip, to_ip, drop=1.0)

    def set_fault(self, from_ip: str, to_ip: str, **fault) -> None:
        """Set a fault in one direction, see `demo.fault.Fault`."""
        self.command_relay("fault", **{"from": from_ip, "to": to_ip}, **fault)

    def heal(self) -> None:
        """Remove all faults."""
        self.command_relay("heal")


def replace_ports(text: str) -> str:
    """Return a published value with the relay's port in each address."""
    return text.replace(f":{PACKETS_PORT}\n", f":{RELAY_PORT}\n")
