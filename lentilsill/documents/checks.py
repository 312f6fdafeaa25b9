"""Semantic checks of a document, such as references between its values.

The checks read the decoded JSON value instead of the validated model, so that a
document that doesn't match the model is checked too. Values of a wrong type are
skipped here, because the model reports them.
"""

from collections.abc import Iterator
from typing import Any

from lentilsill.findings import Findings

__all__ = ["check_semantics"]

# Paths below /lentilsill/ are the node's own endpoints for callers.
RESERVED_SERVICES = {"lentilsill"}


def check_semantics(value: Any, service: str, findings: Findings) -> None:
    """Add findings about names, targets, weights and hedges."""
    if not isinstance(value, dict):
        return
    name = value.get("service")
    if isinstance(name, str) and name != service:
        findings.add(
            "service", f"is {name[:80]!r}, but the object is named {service!r}"
        )
    if service in RESERVED_SERVICES:
        findings.add("service", f"{service!r} is reserved")
    upstream_sets = value.get("upstream_sets", {})
    first_places: dict[str, str] = {}
    for place, route in _iterate_objects(value, "routes", ""):
        _check_name(place, route.get("name"), first_places, findings)
        _check_targets(place, route, service, upstream_sets, findings)
        if route.get("hedge") is not None and route.get("idempotent") is not True:
            findings.add(f"{place}.hedge", "only an idempotent route may hedge")


def _iterate_objects(obj: dict, key: str, prefix: str) -> Iterator[tuple[str, dict]]:
    items = obj.get(key)
    for index, item in enumerate(items if isinstance(items, list) else ()):
        if isinstance(item, dict):
            yield f"{prefix}{key}[{index}]", item


def _check_name(
    place: str, name: Any, first_places: dict[str, str], findings: Findings
) -> None:
    if not isinstance(name, str):
        return
    if name in first_places:
        findings.add(f"{place}.name", f"same name as {first_places[name]}")
    first_places.setdefault(name, place)


def _check_targets(
    place: str, route: dict, service: str, upstream_sets: Any, findings: Findings
) -> None:
    weights = []
    seen = set()
    for target_place, target in _iterate_objects(route, "targets", f"{place}."):
        weights.append(target.get("weight", 100))
        target_service, name = target.get("service"), target.get("upstream_set")
        if not isinstance(target_service, str) or not isinstance(name, str):
            continue
        if (target_service, name) in seen:
            findings.add(target_place, "same target as an earlier one")
        seen.add((target_service, name))
        if (
            target_service == service
            and isinstance(upstream_sets, dict)
            and name not in upstream_sets
        ):
            findings.add(
                f"{target_place}.upstream_set",
                f"this document has no upstream set {name[:80]!r}",
            )
    if weights and all(weight == 0 for weight in weights):
        findings.add(f"{place}.targets", "all weights are 0")
