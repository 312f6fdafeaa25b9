"""Data classes of a validated service document."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "CallerLimits",
    "HedgePolicy",
    "Limits",
    "RetryPolicy",
    "Route",
    "RouteTarget",
    "ServiceDocument",
    "UpstreamSet",
]


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A share of a route's calls: the upstream set `upstream_set` of `service`."""

    service: str
    upstream_set: str
    weight: int


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often a failed call may be tried again.

    `max_attempts` counts the first attempt. `budget_percent` is the share of
    calls, in percent, that retries may add.
    """

    max_attempts: int = 3
    budget_percent: float = 10.0


@dataclass(frozen=True, slots=True)
class HedgePolicy:
    """When an idempotent call gets a second, parallel attempt.

    The second attempt starts `delay_ms` after the first. `budget_percent` is
    the share of calls, in percent, that hedges may add.
    """

    delay_ms: float
    budget_percent: float = 5.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits per upstream: calls run at once, and calls that may wait."""

    slots_per_upstream: int = 6
    queue_per_upstream: int = 12


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, and how long a connection may be idle."""

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: int = 60_000
    idle_timeout_ms: int = 3_600_000


@dataclass(frozen=True, slots=True)
class UpstreamSet:
    """Upstreams of a service selected by labels.

    An upstream belongs to the set when it carries every label in `labels`.
    A set with `leaving` gets no new work.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Which calls a route takes, where they go and how they are treated.

    `methods` is empty for all methods. The deadline is in milliseconds.
    `priority` ranks the calls that wait for an upstream, 0 first.
    `objective_ms` is the time within which an answer is worth most to the
    caller; 0 stands for the deadline.
    """

    name: str
    path_prefix: str
    methods: frozenset[str]
    idempotent: bool
    deadline_ms: int
    targets: tuple[RouteTarget, ...]
    retry: RetryPolicy
    hedge: HedgePolicy | None
    priority: int = 0
    objective_ms: int = 0


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """The validated document of one service at one version.

    `version` is the platform's store-wide revision at the write.
    `requires` names services that must be in force beside this one, apart
    from those that the routes lead to.
    """

    service: str
    version: int
    upstream_sets: Mapping[str, UpstreamSet]
    routes: tuple[Route, ...]
    limits: Limits
    requires: tuple[str, ...]
