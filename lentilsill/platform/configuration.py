"""Translation of the platform's configuration object into a bundle of documents.

A virtual host becomes the document of a service with the host's name, and each
service of the platform becomes a document with the upstream set ``all``.
"""

from typing import Any

from pydantic import BaseModel, Field, ValidationError

__all__ = ["CONFIGURATION_KIND", "decode_configuration", "decode_version"]

CONFIGURATION_KIND = "config"
ALL_UPSTREAMS = "all"
IDEMPOTENT_KIND = "safe"
VERSION_BASE = 16
# Weights of documents are whole numbers, and those of the platform need not be.
WEIGHT_SCALE = 100


class _Share(BaseModel):
    service: str
    weight: float = Field(ge=0)


class _Route(BaseModel):
    name: str
    path_prefix: str
    # Whether the request may run more than once; not a type of route.
    kind: str
    timeout_ms: float = Field(gt=0)
    target_latency_ms: float = 0
    # 0 is the most urgent.
    priority: int = Field(default=0, ge=0)
    # Upstreams that one request may reach, the first included.
    max_attempts: int = Field(default=1, ge=1)
    service: str | None = None
    weighted_split: list[_Share] | None = None


class _Host(BaseModel):
    host: str
    path_routes: list[_Route]


class _Service(BaseModel):
    name: str
    health_path: str = "/health"
    # Connections of all callers together; not a number of requests.
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
    """Read a version, which the platform writes in hexadecimal digits.

    Examples
    --------
    >>> decode_version("0000000c")
    12
    """
    return int(text, VERSION_BASE)


def decode_configuration(spec: Any) -> dict[str, Any]:
    """Give the JSON value of the bundle that a configuration object stands for.

    Raises
    ------
    ValueError
        The object is no configuration; the text names each place.
    """
    try:
        cfg = _Configuration.model_validate(spec)
    except ValidationError as exc:
        places = (
            f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
            for error in exc.errors(include_url=False, include_input=False)
        )
        raise ValueError("; ".join(places)) from exc
    documents: list[dict[str, Any]] = [_service(service) for service in cfg.services]
    documents += [_host(host) for host in cfg.virtual_hosts]
    return {
        "version": decode_version(cfg.version),
        "documents": documents,
        "caller_limits": cfg.limits.model_dump(),
    }


def _service(service: _Service) -> dict[str, Any]:
    return {
        "service": service.name,
        "upstream_sets": {ALL_UPSTREAMS: {}},
        "limits": {"slots_per_upstream": service.max_connections},
    }


def _host(host: _Host) -> dict[str, Any]:
    routes = [_route(route) for route in host.path_routes]
    return {"service": host.host.lower(), "routes": routes}


def _route(route: _Route) -> dict[str, Any]:
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
        "retry": {"max_attempts": min(route.max_attempts, 10)},
    }
