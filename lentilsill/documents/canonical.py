"""Canonical text of a document, and its references to other documents."""

import json
from dataclasses import dataclass
from typing import Any

from .model import Route, ServiceDocument

__all__ = ["References", "canonical_text", "references"]


@dataclass(frozen=True, slots=True)
class References:
    """Upstream sets and services that must be in force together with a document.

    `upstream_sets` holds pairs of a service name and the name of its upstream set,
    and `services` holds service names. Neither includes the document's service.
    """

    upstream_sets: frozenset[tuple[str, str]]
    services: frozenset[str]


def references(document: ServiceDocument) -> References:
    """Return the references of a document to other services."""
    service = document.service
    sets = frozenset(
        (target.service, target.upstream_set)
        for route in document.routes
        for target in route.targets
        if target.service != service
    )
    return References(sets, frozenset(document.requires) - {service})


def canonical_text(document: ServiceDocument) -> str:
    """Return the JSON text of a document, without its version.

    Documents with equal content have equal texts.

    Examples
    --------
    >>> from .parse import parse_document
    >>> canonical_text(parse_document({"service": "a"}, "a", 1).unwrap())[:60]
    '{"limits":{"queue_per_upstream":12,"slots_per_upstream":6},"'
    """
    limits = document.limits
    value = {
        "service": document.service,
        "upstream_sets": {
            name: {"labels": dict(item.labels), "leaving": item.leaving}
            for name, item in document.upstream_sets.items()
        },
        "routes": [_route_value(route) for route in document.routes],
        "limits": {
            "slots_per_upstream": limits.slots_per_upstream,
            "queue_per_upstream": limits.queue_per_upstream,
        },
        "requires": sorted(document.requires),
    }
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _route_value(route: Route) -> dict[str, Any]:
    value: dict[str, Any] = {
        "name": route.name,
        "match": {"path_prefix": route.path_prefix, "methods": sorted(route.methods)},
        "targets": [
            {
                "service": target.service,
                "upstream_set": target.upstream_set,
                "weight": target.weight,
            }
            for target in route.targets
        ],
        "idempotent": route.idempotent,
        "deadline_ms": route.deadline_ms,
        "retry": {
            "max_attempts": route.retry.max_attempts,
            "budget_percent": route.retry.budget_percent,
        },
    }
    if route.priority:
        value["priority"] = route.priority
    if route.objective_ms:
        value["objective_ms"] = route.objective_ms
    if route.hedge is not None:
        value["hedge"] = {
            "delay_ms": route.hedge.delay_ms,
            "budget_percent": route.hedge.budget_percent,
        }
    return value
