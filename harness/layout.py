"""Loopback addresses and settings of the processes of a run."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["Host", "Layout"]

PLATFORM_PORT = 7000
RELAY_CONTROL_PORT = 7100
PEER_PORT = 7001
CALLER_PORT = 8001
ADMIN_PORT = 9001
FIRST_WORKER_PORT = 8101
# The relay listens for a node at the node's address, with this offset added to the
# third octet, which is the number of the domain.
RELAY_DOMAIN_OFFSET = 100
# Third octet of the addresses at which the relay listens for the platform.
PLATFORM_RELAY_OCTET = 200
SEEDS_PER_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class Host:
    """A host: an IP address with one node and its workers."""

    domain: str
    node: str
    ip: str
    relay_ip: str

    @property
    def peer_address(self) -> str:
        """Address at which the node accepts peer links."""
        return f"{self.ip}:{PEER_PORT}"

    @property
    def relay_address(self) -> str:
        """Address at which the relay accepts peer links for the node."""
        return f"{self.relay_ip}:{PEER_PORT}"

    @property
    def caller_address(self) -> str:
        """Address at which the node accepts calls."""
        return f"{self.ip}:{CALLER_PORT}"

    @property
    def admin_address(self) -> str:
        """Address at which the node accepts announcements."""
        return f"{self.ip}:{ADMIN_PORT}"

    def worker_address(self, number: int) -> str:
        """Return the address of a worker of this host; numbers start at 0."""
        return f"{self.ip}:{FIRST_WORKER_PORT + number}"


@dataclass(frozen=True)
class Layout:
    """Domains and their hosts, with addresses in 127.<second_octet>.0.0/16.

    Parameters
    ----------
    second_octet : int
        Second octet of all addresses; concurrent runs need different ones.
    sections : dict
        Sections to merge into the settings of each node, for example
        ``{"distribution": {...}}``; other values replace a setting.
    """

    second_octet: int
    domains: tuple[str, ...]
    hosts_per_domain: int
    with_relay: bool = False
    sections: dict[str, Any] = field(default_factory=dict)

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f"127.{self.second_octet}.0.1:{PLATFORM_PORT}"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{self.platform_address}"

    def platform_domain(self, domain: str) -> str:
        """Name under which relay rules refer to a domain's path to the platform.

        Clients of the platform don't bind a source address, so each domain has
        its own relay address to the platform; its rules have the source ``*``.
        """
        return f"platform-{domain}"

    def platform_relay_address(self, domain: str) -> str:
        """Address at which the relay accepts a domain's connections to the platform."""
        number = self.domains.index(domain) + 1
        return (
            f"127.{self.second_octet}.{PLATFORM_RELAY_OCTET}.{number}:{PLATFORM_PORT}"
        )

    @property
    def relay_control(self) -> str:
        """Address of the relay's HTTP control interface."""
        return f"127.{self.second_octet}.0.1:{RELAY_CONTROL_PORT}"

    @property
    def hosts(self) -> tuple[Host, ...]:
        """All hosts, grouped by domain."""
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
        """Return the host of the node with this name."""
        return next(host for host in self.hosts if host.node == node)

    def settings(self, host: Host) -> dict[str, Any]:
        """Return the settings of the node on a host."""
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
            is_section = isinstance(section, dict)
            cfg[name] = cfg.get(name, {}) | section if is_section else section
        return cfg

    def relay_config(self) -> dict[str, Any]:
        """Return the configuration of the relay."""
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
