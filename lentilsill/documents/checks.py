"""Checks across the parts of a document.

They read the decoded JSON value rather than the model, so that they also
report on a document whose shape has findings; parts of a wrong shape are
skipped here.
"""

from collections.abc import Iterator
from typing import Any

from lentilsill.findings import Findings

__all__ = ["check_meaning"]

# Callers reach the node's own functions below /lentilsill/.
RESERVED_SERVICES = {"lentilsill"}


def check_meaning(value: Any, service: str, findings: Findings) -> None:
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
    sets = value.get("upstream_sets", {})
    first_place: dict[str, str] = {}
    for place, route in _parts(value, "routes", ""):
        _check_name(place, route.get("name"), first_place, findings)
        _check_targets(place, route, service, sets, findings)
        if route.get("hedge") is not None and route.get("idempotent") is not True:
            findings.add(f"{place}.hedge", "only an idempotent route may hedge")


def _parts(obj: dict, key: str, prefix: str) -> Iterator[tuple[str, dict]]:
    parts = obj.get(key)
    for index, part in enumerate(parts if isinstance(parts, list) else ()):
        if isinstance(part, dict):
            yield f"{prefix}{key}[{index}]", part


def _check_name(
    place: str, name: Any, first_place: dict[str, str], findings: Findings
) -> None:
    if not isinstance(name, str):
        return
    if name in first_place:
        findings.add(f"{place}.name", f"same name as {first_place[name]}")
    first_place.setdefault(name, place)


def _check_targets(
    place: str, route: dict, service: str, sets: Any, findings: Findings
) -> None:
    weights = []
    seen = set()
    for target_place, target in _parts(route, "targets", f"{place}."):
        weights.append(target.get("weight", 100))
        other, name = target.get("service"), target.get("upstream_set")
        if not isinstance(other, str) or not isinstance(name, str):
            continue
        if (other, name) in seen:
            findings.add(target_place, "same target as an earlier one")
        seen.add((other, name))
        if other == service and isinstance(sets, dict) and name not in sets:
            findings.add(
                f"{target_place}.upstream_set",
                f"this document has no upstream set {name[:80]!r}",
            )
    if weights and all(weight == 0 for weight in weights):
        findings.add(f"{place}.targets", "all weights are 0")
