"""Translation of the platform's configuration object into a bundle of documents.

A virtual host becomes the document of a service that has the host's name. Each
service of the platform becomes a document with the upstream set ``all``.

The platform accepts only valid configurations. What is beyond the limits of documents
is adjusted to the nearest value that has the same effect; an entry that can't be read
is left out or answers nothing, and is logged. Documents that were valid before keep
their text, since nodes of two releases send each other patches of it.
"""

from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import Annotated, Any

import structlog
from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    Field,
    ValidationError,
)

from .entry_keys import entry_key
from .organisations import OrganisationDecoder
from .weights import scale_weights

__all__ = [
    "CONFIGURATION_KIND",
    "HOSTS_FIELD",
    "ConfigurationDecoder",
    "decode_configuration",
    "decode_version",
]

CONFIGURATION_KIND = "config"
HOSTS_FIELD = "virtual_hosts"
ALL_UPSTREAMS = "all"
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
VERSION_BASE = 16
# Figures beyond the limits of documents, of which the nearest has the same effect: a
# time limit of 24 days, and more connections than descriptors.
MAX_TIME_MS = 2**31 - 1
MAX_PRIORITY = 2**31 - 1
MAX_ATTEMPTS = 10
MAX_SLOTS = 100_000
# Limits on what callers send, with the smallest values of documents.
MIN_LIMITS = {
    "max_header_bytes": 1024,
    "max_body_bytes": 0,
    "header_timeout_ms": 1,
    "idle_timeout_ms": 1,
}
MAX_LOGGED_ENTRIES = 20
MAX_SHARED_PARTS = 1024

log = structlog.get_logger()


def _round_fraction(value: Any) -> Any:
    """Read a number that is written with a fraction as an integer."""
    is_fraction = isinstance(value, float) and abs(value) < MAX_TIME_MS
    return round(value) if is_fraction else value


def _check_encodable(text: str) -> str:
    """Return a text; one with half of a surrogate pair raises `UnicodeEncodeError`."""
    text.encode()
    return text


Text = Annotated[str, AfterValidator(_check_encodable)]
Number = Annotated[float, Field(allow_inf_nan=False)]
Integer = Annotated[int, BeforeValidator(_round_fraction)]


class _Share(BaseModel):
    service: Text
    weight: float = Field(ge=0, allow_inf_nan=False)


class _Route(BaseModel):
    name: Text
    path_prefix: Text
    # ``safe`` or ``download`` if a request may run more than once; not a type of route.
    kind: Text
    timeout_ms: Number
    target_latency_ms: Number = 0
    # 0 is the most urgent priority.
    priority: Integer = 0
    # Number of upstreams that a request may be sent to, including the first.
    max_attempts: Integer = 1
    service: Text | None = None
    weighted_split: list[_Share] | None = None
    # A value that is no boolean leaves the route to callers with a key.
    public: Annotated[bool, BeforeValidator(lambda value: value is True)] = False


class _RoutePlace(BaseModel):
    """The part of a route that says which requests it takes."""

    path_prefix: Text


class _Host(BaseModel):
    host: Text
    # Routes are validated one by one, as most are the same as in the last version.
    path_routes: list[Any]


class _Service(BaseModel):
    name: Text
    health_path: str = "/health"
    # Number of connections from all callers together; not a number of requests.
    max_connections: Integer = 100


class _ServiceName(BaseModel):
    name: Text


class _Limit(BaseModel):
    value: Integer


class _Configuration(BaseModel):
    version: str
    services: list[Any]
    virtual_hosts: list[Any]
    limits: Any = None
    tenants: Any = None


def decode_version(text: str) -> int:
    """Parse a version, which the platform writes in hexadecimal digits.

    Examples
    --------
    >>> decode_version("0000000c")
    12
    """
    return int(text, VERSION_BASE)


class ConfigurationDecoder:
    """Decodes successive configuration objects.

    The translated routes of the last object are kept, so that only new routes are
    validated and translated. `findings` names the entries of the last object that
    could not be read.
    """

    def __init__(self) -> None:
        # Translated routes by the key of the platform's route.
        self._routes: dict[bytes, dict[str, Any]] = {}
        self._decode_organisations = OrganisationDecoder()
        self.findings: list[str] = []

    def __call__(self, spec: Any) -> dict[str, Any]:
        """Return what `decode` returns, and log new findings."""
        earlier_findings = self.findings
        bundle = self.decode(spec)
        if self.findings and self.findings != earlier_findings:
            log.warning(
                "configuration_entries_unreadable",
                version=bundle["version"],
                findings=self.findings[:MAX_LOGGED_ENTRIES],
                findings_count=len(self.findings),
            )
        return bundle

    def decode(self, spec: Any) -> dict[str, Any]:
        """Return the bundle for a configuration object as a JSON value.

        Raises
        ------
        ValueError
            The object is not a configuration; the text names each bad field.
        """
        findings: list[str] = []
        try:
            cfg = _Configuration.model_validate(spec)
        except ValidationError as exc:
            raise ValueError("; ".join(_describe_errors(exc))) from exc
        version = decode_version(cfg.version)
        services = {
            service["service"]: service
            for service in _translate_services(cfg.services, findings)
        }
        # The names of hosts don't depend on the case of letters.
        hosts: dict[str, list[dict[str, Any]]] = {}
        routes: dict[bytes, dict[str, Any]] = {}
        for index, raw_host in enumerate(cfg.virtual_hosts):
            place = f"virtual_hosts.{index}."
            try:
                host = _Host.model_validate(raw_host)
            except ValidationError as exc:
                findings += _describe_errors(exc, place)
                continue
            translated = hosts.setdefault(host.host.lower(), [])
            for route_index, raw_route in enumerate(host.path_routes):
                route_place = f"{place}path_routes.{route_index}."
                known_count = len(findings)
                key = entry_key(raw_route)
                route = self._routes.get(key)
                if route is None:
                    route = _read_route(raw_route, route_place, services, findings)
                if route is None:
                    continue
                usable = _keep_known_targets(route, route_place, services, findings)
                if usable is not None:
                    translated.append(usable)
                # What stands for an entry at fault depends on the services of the
                # version.
                if key and len(findings) == known_count:
                    routes[key] = route
        limits = _translate_limits(cfg.limits, findings)
        organisations = {}
        if "tenants" in cfg.model_fields_set:
            decoded = self._decode_organisations(cfg.tenants, findings)
            organisations["organisations"] = decoded
        else:
            hosts = {name: _without_public(items) for name, items in hosts.items()}
        self._routes = routes
        self.findings = findings
        documents = [
            *services.values(),
            *({"service": name, "routes": items} for name, items in hosts.items()),
        ]
        return {
            "version": version,
            "documents": documents,
            "caller_limits": limits,
            **organisations,
        }


def decode_configuration(spec: Any) -> dict[str, Any]:
    """Decode a single configuration object with a new `ConfigurationDecoder`."""
    return ConfigurationDecoder()(spec)


def _describe_errors(exc: ValidationError, prefix: str = "") -> list[str]:
    return [
        f"{prefix}{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
        for error in exc.errors(include_url=False, include_input=False)
    ]


def _translate_services(
    raw_services: Iterable[Any], findings: list[str]
) -> Iterator[dict[str, Any]]:
    for index, raw_service in enumerate(raw_services):
        place = f"services.{index}."
        try:
            service = _Service.model_validate(raw_service)
        except ValidationError as exc:
            findings += _describe_errors(exc, place)
            try:
                service = _Service(name=_ServiceName.model_validate(raw_service).name)
            except ValidationError:
                continue
        yield {
            "service": service.name,
            "upstream_sets": {ALL_UPSTREAMS: {}},
            "limits": {
                "slots_per_upstream": _clamp(service.max_connections, MAX_SLOTS)
            },
        }


def _translate_limits(raw_limits: Any, findings: list[str]) -> dict[str, Any]:
    """Return the limits; one that can't be read has the default of documents."""
    limits: dict[str, Any] = {}
    if not isinstance(raw_limits, dict):
        findings.append("limits: not an object")
        return limits
    for name, smallest in MIN_LIMITS.items():
        try:
            limit = _Limit.model_validate({"value": raw_limits.get(name)})
        except ValidationError as exc:
            findings += _describe_errors(exc, f"limits.{name}.")
        else:
            limits[name] = max(smallest, limit.value)
    return limits


def _keep_known_targets(
    route: dict[str, Any], place: str, services: dict[str, Any], findings: list[str]
) -> dict[str, Any] | None:
    """Return a route without targets whose service does not exist.

    The other targets take their requests. Without any other, requests are refused.
    """
    unknown = [
        target["service"]
        for target in route["targets"]
        if target["service"] not in services
    ]
    if not unknown:
        return route
    findings.append(f"{place}service: no service {', '.join(map(repr, unknown))}")
    known = [target for target in route["targets"] if target["service"] in services]
    if known:
        return route | {"targets": known}
    return _refusing_route(route["match"]["path_prefix"], services)


def _refusing_route(prefix: str, services: dict[str, Any]) -> dict[str, Any] | None:
    """Return a route that refuses its requests; None if there are no services."""
    service = next(iter(services), None)
    if service is None:
        return None
    share = _Share(service=service, weight=0)
    return _translate_route(
        _Route(
            name="unreadable",
            path_prefix=prefix,
            kind="",
            timeout_ms=1,
            weighted_split=[share],
        )
    )


def _read_route(
    raw_route: Any, place: str, services: dict[str, Any], findings: list[str]
) -> dict[str, Any] | None:
    """Return a translated route.

    One that can't be read still takes its requests, and refuses them: a shorter prefix
    might lead to another service. It is None if even its prefix can't be read.
    """
    try:
        route = _Route.model_validate(raw_route)
        if not isinstance(raw_route.get("public", False), bool):
            findings.append(f"{place}public: not a boolean")
        if route.service is not None or route.weighted_split:
            return _translate_route(route)
        findings.append(f"{place}service: missing")
    except ValidationError as exc:
        findings += _describe_errors(exc, place)
    try:
        prefix = _RoutePlace.model_validate(raw_route).path_prefix
    except ValidationError:
        return None
    return _refusing_route(prefix, services)


def _translate_route(route: _Route) -> dict[str, Any]:
    """Return a route of a document; equal targets and policies are shared."""
    shares = route.weighted_split or []
    if route.service is not None and not shares:
        shares = [_Share(service=route.service, weight=1)]
    # `documents.without_organisations` expects it to be the last member.
    public = {"is_public": True} if route.public else {}
    return {
        "name": route.name,
        "match": {"path_prefix": route.path_prefix},
        "targets": _share_targets(tuple((s.service, s.weight) for s in shares)),
        "idempotent": route.kind in IDEMPOTENT_KINDS,
        "deadline_ms": _clamp(round(route.timeout_ms), MAX_TIME_MS),
        "objective_ms": _clamp(round(route.target_latency_ms), MAX_TIME_MS, 0),
        "priority": _clamp(route.priority, MAX_PRIORITY, 0),
        "retry": _share_retry(_clamp(route.max_attempts, MAX_ATTEMPTS)),
        **public,
    }


@lru_cache(MAX_SHARED_PARTS)
def _share_targets(shares: tuple[tuple[str, float], ...]) -> list[dict[str, Any]]:
    weights = scale_weights([weight for _, weight in shares])
    return [
        {"service": service, "upstream_set": ALL_UPSTREAMS, "weight": weight}
        for (service, _), weight in zip(shares, weights, strict=True)
    ]


@lru_cache(MAX_SHARED_PARTS)
def _share_retry(max_attempts: int) -> dict[str, Any]:
    return {"max_attempts": max_attempts}


def _without_public(routes: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return routes as they are where callers need no key.

    The text of bundles without organisations is the same in all releases.
    """
    return [
        {name: item for name, item in route.items() if name != "is_public"}
        if "is_public" in route
        else route
        for route in routes
    ]


def _clamp(value: int, largest: int, smallest: int = 1) -> int:
    return max(smallest, min(value, largest))
