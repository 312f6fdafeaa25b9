"""Model of the settings file of a node; names of quantities end in their unit."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

__all__ = [
    "CallSettings",
    "DistributionSettings",
    "KeySettings",
    "MembershipSettings",
    "NodeSettings",
    "PlatformSettings",
    "QuotaSettings",
    "RolloutSettings",
    "StatsdSettings",
]

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[
    str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:[1-9]\d{0,4}$")
]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(_Section):
    """How to reach the platform's object API."""

    url: str = Field(description="Base URL, for example http://127.0.0.1:7000")
    request_timeout_s: float = Field(
        default=5.0,
        gt=0,
        description="Timeout of a request to the platform other than a watch",
    )
    # A watch whose connection has become silent ends after this time plus the
    # client's grace of 5 s; edits must still be in force within 13 s.
    watch_timeout_s: float = Field(
        default=3.0,
        gt=0,
        description="Longest time that the platform holds a watch open",
    )
    fleet_claims_per_s: float = Field(
        default=100.0,
        gt=0,
        description="Limit on claims of caller-supplied keys by all nodes together; "
        "each claim takes two writes",
    )


class DistributionSettings(_Section):
    """How changes spread between nodes."""

    optimise_for: Literal["convergence", "control_bytes"] = Field(
        default="convergence",
        description="Push changes immediately, or batch them to send fewer bytes",
    )
    watchers_per_domain: int = Field(
        default=2,
        ge=1,
        description="Number of first-ranked nodes of a domain that watch the platform",
    )
    fanout: int = Field(
        default=8,
        ge=1,
        description="Children per node in the tree along which changes are pushed",
    )
    max_full_syncs: int = Field(
        default=8, ge=1, description="Maximum full syncs that a node serves at once"
    )
    in_force_s: float = Field(
        default=13.0,
        gt=0,
        description="Time within which a change must be in force on every node; nodes "
        "read the platform themselves when watchers confirm nothing for most of it",
    )
    ready_bound_s: float = Field(
        default=5.0,
        gt=0,
        description="Time after which documents from one source make a new node ready",
    )


class MembershipSettings(_Section):
    """Liveness of nodes and upstreams."""

    seeds: tuple[Address, ...] = Field(
        default=(), description="Peer addresses of some nodes of each domain"
    )
    probe_interval_s: float = Field(
        default=1.0, gt=0, description="Time between two probes by a node"
    )
    probe_timeout_s: float = Field(
        default=0.5,
        gt=0,
        description="Wait for a probe's answer before other nodes are asked to probe",
    )
    suspect_timeout_s: float = Field(
        default=5.0, gt=0, description="Time after which a suspect node counts as dead"
    )
    announce_timeout_s: float = Field(
        default=6.0,
        gt=0,
        description="Time without an announcement after which an upstream is dropped",
    )


class CallSettings(_Section):
    """Limits of the call path."""

    max_body_bytes: int = Field(
        default=1024 * 1024,
        gt=0,
        description="Largest body of a request; larger ones get status 413",
    )
    max_calls: int = Field(
        default=2000, gt=0, description="Maximum calls from callers in flight at once"
    )
    silent_link_s: float = Field(
        default=1.0,
        gt=0,
        description="Time without bytes after which a link with calls is probed",
    )
    post_reuse_s: float = Field(
        default=1.0,
        ge=0,
        description="Idle time up to which a connection to an upstream is reused for a "
        "request that must not be repeated; 0 opens a connection for each of them",
    )
    execution_record_s: float = Field(
        default=60.0,
        gt=0,
        description="Time for which the record of an execution is kept",
    )
    drain_bound_s: float = Field(
        default=30.0,
        gt=0,
        description="Longest wait for calls in flight when the node stops",
    )
    drain_min_s: float = Field(
        default=0.0,
        ge=0,
        description="Minimum time for which a stopping node accepts calls, until "
        "its callers have noticed the stop",
    )
    drain_take_s: float | None = Field(
        default=None,
        ge=0,
        description="Time after which a stopping node refuses calls from callers; "
        "if unset, calls are accepted until none is in flight",
    )
    even_load: bool = Field(
        default=False,
        description="Whether nodes report how busy upstreams are and choose by it, "
        "also in other domains; otherwise by expected time. Read at the start",
    )
    retry_ratio: float | None = Field(
        default=None,
        ge=0,
        description="Attempts beyond the first that all nodes together may send to "
        "the upstreams of a service, as a share of its calls; if unset, the "
        "percentage of the route applies",
    )
    retry_window_s: float = Field(
        default=10.0, gt=0, description="Time window over which retry_ratio applies"
    )
    retry_allowance: float = Field(
        default=0.0,
        ge=0,
        description="Attempts per window that all nodes together may send in "
        "addition to retry_ratio",
    )
    fair_shares: bool = Field(
        default=False,
        description="Whether organisations share the slots of an upstream: when "
        "calls wait, those of organisations above their share start last",
    )
    inner_slots: bool = Field(
        default=False,
        description="Whether upstreams of services that call each other reserve slots "
        "for calls that running calls wait for. Read at the start",
    )


class KeySettings(_Section):
    """Request keys and their replicas."""

    retention_s: float = Field(
        default=600.0,
        gt=0,
        description="Time for which a request key can be claimed and is remembered",
    )
    replicas: int = Field(
        default=3,
        ge=1,
        le=7,
        description="Nodes that store a key's record; a majority must grant a claim",
    )
    max_records: int = Field(
        default=100_000, gt=0, description="Maximum key records that a node stores"
    )
    max_answer_bytes: int = Field(
        default=4096,
        ge=0,
        description="Largest answer that is stored for repeated requests",
    )


class QuotaSettings(_Section):
    """Quotas of organisations over all nodes; without this section, none apply.

    In any window, the calls of an organisation that run are at most
    (rate * window_s + burst) * (1 + excess_share) + excess_calls.
    """

    window_s: float = Field(
        default=5.0, gt=0, description="Time over which calls are counted"
    )
    excess_share: float = Field(
        default=0.1, ge=0, description="Calls over the quota, as a share of it"
    )
    excess_calls: float = Field(
        default=20.0, ge=0, description="Calls over the quota, in addition"
    )
    shards: int = Field(
        default=8,
        ge=1,
        le=64,
        description="Groups of organisations, each with an allocator of its own; all "
        "nodes must have the same number",
    )


class RolloutSettings(_Section):
    """Roll-outs of a service's version; without this section, orders are not read."""

    exposed_share: float = Field(
        gt=0,
        le=1,
        description="Largest share of a service's calls that a bad version gets during "
        "its roll-out",
    )
    exposed_calls: float = Field(
        ge=0, description="Number of calls above this share, over all nodes"
    )
    rollback_s: float = Field(
        gt=0,
        description="Time after the 50th bad answer of a version from which it gets no "
        "calls",
    )


class StatsdSettings(_Section):
    """Statsd server for metrics; without this section, none are sent."""

    address: Address = Field(description="UDP address of the statsd server")
    prefix: str = Field(
        default="lentilsill", description="First part of the name of every metric"
    )


class NodeSettings(_Section):
    """Settings of one `lentilsilld` process."""

    node: Name = Field(description="Name of the node, unique in the system")
    domain: Name = Field(description="Failure domain of the host")
    domains: tuple[Name, ...] = Field(
        default=(), description="All failure domains, if they are known"
    )
    documents: Literal["per_service", "bundle"] = Field(
        default="per_service",
        description="Whether the platform stores one document per service, or one "
        "object with all documents, which come in force together",
    )
    directory: bool = Field(
        default=False,
        description="Whether nodes find each other through entries on the platform",
    )
    organisations: bool = Field(
        default=False,
        description="Whether callers need an API key where the configuration in force "
        "has organisations",
    )
    host_service: str = Field(
        default="", description="Service of the upstream on this host"
    )
    host_upstream_address: Address | None = Field(
        default=None,
        description="Address of the upstream on this host, if there is only one",
    )
    bind_ip: str = Field(description="Source IP address of outgoing connections")
    peer_address: Address = Field(description="Address for connections from peers")
    advertise_address: Address | None = Field(
        default=None, description="Address advertised to peers instead of peer_address"
    )
    caller_address: Address = Field(
        description="Address for HTTP requests from callers"
    )
    admin_address: Address = Field(
        description="Address for announcements, health checks and the state dump"
    )
    extra_admin_addresses: tuple[Address, ...] = Field(
        default=(), description="Additional addresses of the admin server"
    )
    link_mbps: float | None = Field(
        default=None,
        gt=0,
        description="Rate of the host's network link in Mbit/s, if it is known; "
        "nodes with faster links are preferred as watchers of the platform",
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="Lowest level of logged events"
    )
    platform: PlatformSettings
    distribution: DistributionSettings = DistributionSettings()
    membership: MembershipSettings = MembershipSettings()
    calls: CallSettings = CallSettings()
    keys: KeySettings = KeySettings()
    quotas: QuotaSettings | None = None
    statsd: StatsdSettings | None = None
    rollouts: RolloutSettings | None = None
