"""Translation of the platform's configuration object into a bundle of documents.

A virtual host becomes the document of a service that has the host's name. Each
service of the platform becomes a document with the upstream set ``all``.
"""

from typing import Any

import msgspec
from pydantic import BaseModel, Field, ValidationError

__all__ = [
    "CONFIGURATION_KIND",
    "ConfigurationDecoder",
    "decode_configuration",
    "decode_version",
]

CONFIGURATION_KIND = "config"
ALL_UPSTREAMS = "all"
IDEMPOTENT_KIND = "safe"
VERSION_BASE = 16
# Weights in documents are integers; those of the platform may be fractions.
WEIGHT_SCALE = 100


class _Share(BaseModel):
    service: str
    weight: float = Field(ge=0)


class _Route(BaseModel):
    name: str
    path_prefix: str
    # ``safe`` if a request may run more than once; not a type of route.
    kind: str
    timeout_ms: float = Field(gt=0)
    target_latency_ms: float = 0
    # 0 is the most urgent priority.
    priority: int = Field(default=0, ge=0)
    # Number of upstreams that a request may be sent to, including the first.
    max_attempts: int = Field(default=1, ge=1)
    service: str | None = None
    weighted_split: list[_Share] | None = None


class _Host(BaseModel):
    host: str
    # Routes are validated one by one, as most are the same as in the last version.
    path_routes: list[dict[str, Any]]


class _Service(BaseModel):
    name: str
    health_path: str = "/health"
    # Number of connections from all callers together; not a number of requests.
    max_connections: int = Field(default=100, ge=1)


class _Limits(BaseModel):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class _Configuration(BaseModel):
    version: str
    services: list[_Service]
    virtual_hosts: list[_Host]
    limits: _Limits


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
    validated and translated.
    """

    def __init__(self) -> None:
        # Translated routes by the JSON text of the platform's route.
        self._routes: dict[bytes, dict[str, Any]] = {}

    def __call__(self, spec: Any) -> dict[str, Any]:
        """Return the bundle for a configuration object as a JSON value.

        Raises
        ------
        ValueError
            The object is not a valid configuration; the text names each bad field.
        """
        problems: list[str] = []
        try:
            cfg = _Configuration.model_validate(spec)
        except ValidationError as exc:
            raise ValueError("; ".join(_describe_errors(exc))) from exc
        routes: dict[bytes, dict[str, Any]] = {}
        documents = [_translate_service(service) for service in cfg.services]
        for host_index, host in enumerate(cfg.virtual_hosts):
            translated = []
            for route_index, raw_route in enumerate(host.path_routes):
                key = msgspec.json.encode(raw_route)
                try:
                    route = self._routes.get(key) or _translate_route(
                        _Route.model_validate(raw_route)
                    )
                except ValidationError as exc:
                    prefix = f"virtual_hosts.{host_index}.path_routes.{route_index}."
                    problems += _describe_errors(exc, prefix)
                    continue
                routes[key] = route
                translated.append(route)
            documents.append({"service": host.host.lower(), "routes": translated})
        if problems:
            raise ValueError("; ".join(problems))
        self._routes = routes
        return {
            "version": decode_version(cfg.version),
            "documents": documents,
            "caller_limits": cfg.limits.model_dump(),
        }


def decode_configuration(spec: Any) -> dict[str, Any]:
    """Decode a single configuration object with a new `ConfigurationDecoder`."""
    return ConfigurationDecoder()(spec)


def _describe_errors(exc: ValidationError, prefix: str = "") -> list[str]:
    return [
        f"{prefix}{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
        for error in exc.errors(include_url=False, include_input=False)
    ]


def _translate_service(service: _Service) -> dict[str, Any]:
    return {
        "service": service.name,
        "upstream_sets": {ALL_UPSTREAMS: {}},
        "limits": {"slots_per_upstream": service.max_connections},
    }


def _translate_route(route: _Route) -> dict[str, Any]:
    shares = route.weighted_split or []
    if route.service is not None and not shares:
        shares = [_Share(service=route.service, weight=1)]
    return {
        "name": route.name,
        "match": {"path_prefix": route.path_prefix},
        "targets": [
            {
                "service": share.service,
                "upstream_set": ALL_UPSTREAMS,
                "weight": round(share.weight * WEIGHT_SCALE),
            }
            for share in shares
        ],
        "idempotent": route.kind == IDEMPOTENT_KIND,
        "deadline_ms": round(route.timeout_ms),
        "objective_ms": round(route.target_latency_ms),
        "priority": route.priority,
        # Documents allow at most 10 attempts.
        "retry": {"max_attempts": min(route.max_attempts, 10)},
    }
