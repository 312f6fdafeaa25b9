"""Addresses and settings of the processes of a run on loopback."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["Host", "Layout"]

PLATFORM_PORT = 7000
RELAY_CONTROL_PORT = 7100
PEER_PORT = 7001
CALLER_PORT = 8001
ADMIN_PORT = 9001
FIRST_WORKER_PORT = 8101
# The relay stands in front of a node at the node's address with the domain's
# number raised by this.
RELAY_DOMAIN_OFFSET = 100
# Third byte of the addresses at which the relay stands in front of the platform.
PLATFORM_RELAY = 200
SEEDS_PER_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class Host:
    """One host: an IP address with one node, and workers beside it."""

    domain: str
    node: str
    ip: str
    relay_ip: str

    @property
    def peer_address(self) -> str:
        """Where the node takes peer links."""
        return f"{self.ip}:{PEER_PORT}"

    @property
    def relay_address(self) -> str:
        """Where the relay takes peer links for the node."""
        return f"{self.relay_ip}:{PEER_PORT}"

    @property
    def caller_address(self) -> str:
        """Where the node takes calls."""
        return f"{self.ip}:{CALLER_PORT}"

    @property
    def admin_address(self) -> str:
        """Where the node takes announcements."""
        return f"{self.ip}:{ADMIN_PORT}"

    def worker_address(self, number: int) -> str:
        """Give the address of a worker of this host, counted from 0."""
        return f"{self.ip}:{FIRST_WORKER_PORT + number}"


@dataclass(frozen=True)
class Layout:
    """Domains and hosts below 127.<base>.

    Parameters
    ----------
    second_octet : int
        Second byte of all addresses; runs at the same time need different ones.
    sections : dict
        Sections of the nodes' settings, for example ``{"distribution": {...}}``.
    """

    second_octet: int
    domains: tuple[str, ...]
    hosts_per_domain: int
    with_relay: bool = False
    sections: dict[str, dict[str, Any]] = field(default_factory=dict)

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f"127.{self.second_octet}.0.1:{PLATFORM_PORT}"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{self.platform_address}"

    def platform_domain(self, domain: str) -> str:
        """Name, in rules of the relay, of the platform as a domain reaches it.

        Clients of the platform choose no source address, so that each domain
        has an address of its own; rules for it are from ``*``.
        """
        return f"platform-{domain}"

    def platform_relay_address(self, domain: str) -> str:
        """Where the relay takes a domain's connections to the platform."""
        number = self.domains.index(domain) + 1
        return f"127.{self.second_octet}.{PLATFORM_RELAY}.{number}:{PLATFORM_PORT}"

    @property
    def relay_control(self) -> str:
        """Address of the relay's control HTTP."""
        return f"127.{self.second_octet}.0.1:{RELAY_CONTROL_PORT}"

    @property
    def hosts(self) -> tuple[Host, ...]:
        """All hosts, by domain."""
        return tuple(
            Host(
                domain,
                f"{domain}-{number}",
                f"127.{self.second_octet}.{index}.{number}",
                f"127.{self.second_octet}.{index + RELAY_DOMAIN_OFFSET}.{number}",
            )
            for index, domain in enumerate(self.domains, 1)
            for number in range(1, self.hosts_per_domain + 1)
        )

    def host(self, node: str) -> Host:
        """Give the host of a node by name."""
        return next(host for host in self.hosts if host.node == node)

    def settings(self, host: Host) -> dict[str, Any]:
        """Give the settings of the node on a host."""
        seeds = [
            other.relay_address if self.with_relay else other.peer_address
            for domain in self.domains
            for other in [h for h in self.hosts if h.domain == domain][
                :SEEDS_PER_DOMAIN
            ]
        ]
        cfg: dict[str, Any] = {
            "node": host.node,
            "domain": host.domain,
            "bind_ip": host.ip,
            "peer_address": host.peer_address,
            "caller_address": host.caller_address,
            "admin_address": host.admin_address,
            "platform": {"url": self.platform_url},
            "membership": {"seeds": seeds},
        }
        if self.with_relay:
            cfg["advertise_address"] = host.relay_address
            address = self.platform_relay_address(host.domain)
            cfg["platform"] = {"url": f"http://{address}"}
        for name, section in self.sections.items():
            cfg[name] = cfg.get(name, {}) | section
        return cfg

    def relay_config(self) -> dict[str, Any]:
        """Give the relay's configuration."""
        nodes = [
            {
                "listen": host.relay_address,
                "target": host.peer_address,
                "domain": host.domain,
            }
            for host in self.hosts
        ]
        platform = [
            {
                "listen": self.platform_relay_address(domain),
                "target": self.platform_address,
                "domain": self.platform_domain(domain),
            }
            for domain in self.domains
        ]
        return {
            "listeners": nodes + platform,
            "sources": {host.ip: host.domain for host in self.hosts},
        }
