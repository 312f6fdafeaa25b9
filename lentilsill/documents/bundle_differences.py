"""Differences between two bundles, as lines for operators."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any

from .bundle import Bundle
from .bundle_review import routed_documents
from .model import Organisation

__all__ = ["compare_bundles"]

# Members whose values are the position of the write, or are compared by entry.
SKIPPED_FIELDS = frozenset({"version", "routes"})


def compare_bundles(old: Bundle, new: Bundle) -> list[str]:
    """Return a line for each entry that was added (+), removed (-) or changed (~).

    Keys are counted and not shown.

    Examples
    --------
    >>> from lentilsill.documents import parse_bundle
    >>> old = parse_bundle('{"version": 1, "documents": []}', 1).unwrap()
    >>> text = '{"version": 2, "documents": [{"service": "a"}], "organisations": []}'
    >>> compare_bundles(old, parse_bundle(text, 2).unwrap())
    ['+ organisations: callers need a key', '+ host a']
    """
    lines = [
        f"~ caller limits: {change}"
        for change in _changes(old.caller_limits, new.caller_limits)
    ]
    if old.organisations is None and new.organisations is not None:
        lines.append("+ organisations: callers need a key")
    elif old.organisations is not None and new.organisations is None:
        lines.append("- organisations: callers need no key")
    entries = [_entries(bundle) for bundle in (old, new)]
    return [*lines, *_compare(*entries)]


def _entries(bundle: Bundle) -> dict[str, Any]:
    """Return all entries of a bundle by their label."""
    entries: dict[str, Any] = {}
    for name, document in bundle.documents.items():
        if document.upstream_sets:
            entries[f"service {name}"] = document
    for name, document in routed_documents(bundle).items():
        entries[f"host {name}"] = document
        counts: Counter[str] = Counter()
        for route in document.routes:
            counts[route.name] += 1
            count = counts[route.name]
            label = f"host {name} route {route.name}"
            entries[label if count == 1 else f"{label} #{count}"] = route
    for name, organisation in (bundle.organisations or {}).items():
        entries[f"organisation {name}"] = organisation
    return entries


def _compare(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[str]:
    yield from (f"- {label}" for label in old if label not in new)
    for label, entry in new.items():
        if label not in old:
            yield f"+ {label}"
        elif changes := _changes(old[label], entry):
            yield f"~ {label}: {', '.join(changes)}"


def _changes(old: Any, new: Any) -> list[str]:
    """Return the members of two entries that differ."""
    if isinstance(old, Organisation):
        return _organisation_changes(old, new)
    return [
        f"{field.name} {_format(before)} -> {_format(after)}"
        for field in fields(old)
        if field.name not in SKIPPED_FIELDS
        and (before := getattr(old, field.name)) != (after := getattr(new, field.name))
    ]


def _organisation_changes(old: Organisation, new: Organisation) -> list[str]:
    before, after = set(old.key_digests), set(new.key_digests)
    changes = [
        f"{len(digests)} keys {verb}"
        for digests, verb in ((after - before, "added"), (before - after, "removed"))
        if digests
    ]
    changes += [
        f"{name} {_format(getattr(old, name))} -> {_format(getattr(new, name))}"
        for name in ("priority", "quota")
        if getattr(old, name) != getattr(new, name)
    ]
    return changes


def _format(value: Any) -> str:
    """Return a value in a short form; it holds no key.

    Examples
    --------
    >>> from lentilsill.documents import Quota, RouteTarget
    >>> _format(Quota(2.0, 5.0)), _format((RouteTarget("a", "all", 1),))
    ('(rate_per_s 2.0, burst 5.0)', '[(service a, upstream_set all, weight 1)]')
    """
    match value:
        case tuple() | list():
            return f"[{', '.join(map(_format, value))}]"
        case frozenset():
            return f"[{', '.join(sorted(map(_format, value)))}]"
        case Mapping():
            return f"[{', '.join(f'{k} {_format(v)}' for k, v in value.items())}]"
        case _ if hasattr(value, "__dataclass_fields__"):
            members = (
                f"{f.name} {_format(getattr(value, f.name))}" for f in fields(value)
            )
            return f"({', '.join(members)})"
    return str(value)
