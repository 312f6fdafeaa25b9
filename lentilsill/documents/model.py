"""Data classes of a validated service document."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

__all__ = [
    "CallerLimits",
    "HedgePolicy",
    "Limits",
    "Organisation",
    "Quota",
    "RetryPolicy",
    "Route",
    "RouteTarget",
    "ServiceDocument",
    "UpstreamSet",
]


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """An upstream set of `service` that gets the share `weight` of a route's calls."""

    service: str
    upstream_set: str
    weight: int


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on the retries of failed calls.

    `max_attempts` includes the first attempt. `budget_percent` is the number of
    retries that are permitted, in percent of the calls.
    """

    max_attempts: int = 3
    budget_percent: float = 10.0


@dataclass(frozen=True, slots=True)
class HedgePolicy:
    """Conditions for a second, parallel attempt (hedge) of an idempotent call.

    The second attempt starts `delay_ms` milliseconds after the first.
    `budget_percent` is the number of hedges that are permitted, in percent of the
    calls.
    """

    delay_ms: float
    budget_percent: float = 5.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits per upstream: number of concurrent calls and of queued calls."""

    slots_per_upstream: int = 6
    queue_per_upstream: int = 12


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers and on the idle time of their connections."""

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: int = 60_000
    idle_timeout_ms: int = 3_600_000


@dataclass(frozen=True, slots=True)
class UpstreamSet:
    """Set of the upstreams of a service, selected by their labels.

    An upstream belongs to the set when it has every label in `labels`. Upstreams of
    a set that is `leaving` get no new calls.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Calls that a route matches, the targets they go to, and the call settings.

    An empty `methods` matches all methods. `deadline_ms` is in milliseconds.
    `priority` orders the calls that wait for an upstream; 0 comes first.
    `objective_ms` is the latency objective, the time in milliseconds within which
    an answer has the most value to the caller; 0 stands for the deadline. A route
    that `is_public` needs no API key.
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
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Quota:
    """Token bucket of an organisation, over all nodes together.

    In any t seconds, at most ``rate_per_s * t + burst`` of its calls are sent to
    upstreams.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers identify themselves by API keys.

    Only digests of the keys are kept. `priority` replaces that of the route; None
    leaves it. Calls are not limited if `quota` is None.
    """

    name: str
    key_digests: Collection[str]
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """The validated document of one service at one version.

    `version` is the store-wide revision of the platform at the write. `requires`
    names services that must be in force together with this one, in addition to the
    services of the routes' targets.
    """

    service: str
    version: int
    upstream_sets: Mapping[str, UpstreamSet]
    routes: tuple[Route, ...]
    limits: Limits
    requires: tuple[str, ...]
