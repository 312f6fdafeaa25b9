"""Pydantic models of the documents and bundles that operators write."""

from typing import Annotated, Any, cast

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

__all__ = [
    "NAME_PATTERN",
    "BundleModel",
    "BundleRouteModel",
    "DocumentModel",
    "OrganisationModel",
    "RouteModel",
]

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
MAX_ROUTES = 256
# A bundle holds what the platform has accepted, so its size is the only limit on the
# number of its entries, and the widths of messages are the limits on its figures.
MAX_BUNDLE_ENTRIES = 1_000_000
MAX_BUNDLE_NUMBER = 2**31 - 1
MAX_UPSTREAM_SETS = 64
MAX_TARGETS = 64
MAX_METHODS = 16
MAX_LABELS = 16
MAX_REQUIRES = 64
MAX_PATH_CHARS = 512
MAX_DEADLINE_MS = 600_000

Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
Label = Annotated[str, StringConstraints(min_length=1, max_length=63)]
Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]{1,16}$")]
Path = Annotated[
    str, StringConstraints(pattern=r"^/[^\s?#]*$", max_length=MAX_PATH_CHARS)
]
Percent = Annotated[float, Field(ge=0, le=100, allow_inf_nan=False)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class UpstreamSetModel(_StrictModel):
    """An upstream set: the labels that select its upstreams."""

    labels: dict[Label, Label] = Field(default={}, max_length=MAX_LABELS)
    leaving: bool = False


class MatchModel(_StrictModel):
    """Conditions under which a call matches a route."""

    path_prefix: Path
    methods: list[Method] = Field(default=[], max_length=MAX_METHODS)


class TargetModel(_StrictModel):
    """An upstream set that receives a share of a route's calls."""

    service: Name
    upstream_set: Name
    weight: int = Field(default=100, ge=0, le=1_000_000)


class RetryModel(_StrictModel):
    """Retry policy of a route."""

    max_attempts: int = Field(default=3, ge=1, le=10)
    budget_percent: Percent = 10.0


class HedgeModel(_StrictModel):
    """Hedge policy of a route."""

    delay_ms: float = Field(gt=0, le=MAX_DEADLINE_MS, allow_inf_nan=False)
    budget_percent: Percent = 5.0


class RouteModel(_StrictModel):
    """A route of a service document."""

    name: Name
    match: MatchModel
    targets: list[TargetModel] = Field(min_length=1, max_length=MAX_TARGETS)
    idempotent: bool = False
    deadline_ms: int = Field(ge=1, le=MAX_DEADLINE_MS)
    retry: RetryModel = RetryModel()
    hedge: HedgeModel | None = None
    priority: int = Field(default=0, ge=0, le=1_000)
    objective_ms: int = Field(default=0, ge=0, le=MAX_DEADLINE_MS)


class LimitsModel(_StrictModel):
    """Limits per upstream."""

    slots_per_upstream: int = Field(default=6, ge=1, le=100_000)
    queue_per_upstream: int = Field(default=12, ge=0, le=1_000_000)


class DocumentModel(_StrictModel):
    """A whole service document."""

    service: Name
    upstream_sets: dict[Name, UpstreamSetModel] = Field(
        default={}, max_length=MAX_UPSTREAM_SETS
    )
    routes: list[RouteModel] = Field(default=[], max_length=MAX_ROUTES)
    limits: LimitsModel = LimitsModel()
    requires: list[Name] = Field(default=[], max_length=MAX_REQUIRES)


class CallerLimitsModel(_StrictModel):
    """Limits on requests and idle connections of callers."""

    max_header_bytes: int = Field(default=64 * 1024, ge=1024)
    max_body_bytes: int = Field(default=1024 * 1024, ge=0)
    header_timeout_ms: int = Field(default=60_000, ge=1)
    idle_timeout_ms: int = Field(default=3_600_000, ge=1)


class BundleMatchModel(MatchModel):
    """Conditions in a bundle; a prefix that no path can have never matches."""

    path_prefix: str


class BundleTargetModel(TargetModel):
    """A target whose service is in the bundle."""

    service: str


class BundleRouteModel(RouteModel):
    """A route of a document in a bundle."""

    name: str
    match: BundleMatchModel
    targets: list[BundleTargetModel] = Field(  # type: ignore[assignment]
        min_length=1, max_length=MAX_BUNDLE_ENTRIES
    )
    deadline_ms: int = Field(ge=1, le=MAX_BUNDLE_NUMBER)
    priority: int = Field(default=0, ge=0, le=MAX_BUNDLE_NUMBER)
    objective_ms: int = Field(default=0, ge=0, le=MAX_BUNDLE_NUMBER)
    is_public: bool = False


class BundleDocumentModel(DocumentModel):
    """A document in a bundle.

    A virtual host is a document without upstream sets whose service is the host
    name. It can have the name of a service.
    """

    service: str
    routes: list[BundleRouteModel] = Field(  # type: ignore[assignment]
        default=[], max_length=MAX_BUNDLE_ENTRIES
    )


class QuotaModel(_StrictModel):
    """Quota of an organisation over all nodes."""

    rate_per_s: float = Field(gt=0, allow_inf_nan=False)
    burst: float = Field(ge=0, allow_inf_nan=False)


class OrganisationModel(_StrictModel):
    """An organisation with the digests of its API keys."""

    name: str = Field(min_length=1)
    key_digests: list[str] = Field(default=[], max_length=MAX_BUNDLE_ENTRIES)
    priority: int | None = Field(default=None, ge=0, le=MAX_BUNDLE_NUMBER)
    quota: QuotaModel | None = None


class BundleModel(_StrictModel):
    """Documents that are put in force together.

    Without `organisations`, callers need no API key; null is no valid value.
    """

    version: int = Field(ge=0)
    documents: list[BundleDocumentModel] = Field(max_length=MAX_BUNDLE_ENTRIES)
    caller_limits: CallerLimitsModel = CallerLimitsModel()
    organisations: list[OrganisationModel] = Field(
        default=cast("Any", None),
        max_length=MAX_BUNDLE_ENTRIES,
    )
