"""Service documents of scenarios, with an idempotent and a non-idempotent route."""

from collections.abc import Iterable
from typing import Any

from lentilsill.documents import key_digest

from .history import Organisation

__all__ = ["BOOK", "BUNDLE", "LOOKUP", "PUBLIC", "make_bundle", "make_document"]

LOOKUP = "lookup"
BOOK = "book"
# Route for which callers need no API key, in bundles with organisations.
PUBLIC = "public"
# Name of the object that holds the bundle.
BUNDLE = "bundle"
DEADLINE_MS = 3000


def make_document(
    service: str,
    *,
    edit: int = 0,
    requires: tuple[str, ...] = (),
    upstream_set: str = "current",
    leaving: bool = False,
    slots: int = 12,
    deadline_ms: int = DEADLINE_MS,
) -> dict[str, Any]:
    """Make a document with the routes `lookup` (idempotent) and `book` (not).

    Parameters
    ----------
    edit : int
        Added to the queue limit, so that the versions of a document differ.
    upstream_set : str
        Upstream set that the routes lead to: "current" (label release=1) or
        "next" (label release=2).
    leaving : bool
        Whether the set "current" is leaving.
    """
    target = {"service": service, "upstream_set": upstream_set, "weight": 100}
    sets = {"current": {"labels": {"release": "1"}, "leaving": leaving}}
    if upstream_set == "next":
        sets["next"] = {"labels": {"release": "2"}, "leaving": False}
    common = {"targets": [target], "deadline_ms": deadline_ms}
    return {
        "service": service,
        "upstream_sets": sets,
        "routes": [
            common
            | {
                "name": LOOKUP,
                "match": {"path_prefix": f"/{LOOKUP}", "methods": ["GET"]},
                "idempotent": True,
                "retry": {"max_attempts": 3, "budget_percent": 10},
            },
            common
            | {
                "name": BOOK,
                "match": {"path_prefix": f"/{BOOK}", "methods": ["POST"]},
                "idempotent": False,
                "retry": {"max_attempts": 2, "budget_percent": 10},
            },
        ],
        "limits": {"slots_per_upstream": slots, "queue_per_upstream": 100 + edit},
        "requires": list(requires),
    }


def make_bundle(
    services: Iterable[str],
    caller_limits: dict[str, int],
    edit: int,
    organisations: tuple[Organisation, ...] | None = None,
    **options: Any,
) -> dict[str, Any]:
    """Make a bundle of one document for each service; `edit` is its version.

    With organisations, each document also has the route `public` (idempotent).
    """
    documents = [make_document(name, edit=edit, **options) for name in services]
    value = {"version": edit, "documents": documents, "caller_limits": caller_limits}
    if organisations is None:
        return value
    for document in documents:
        match = {"path_prefix": f"/{PUBLIC}", "methods": ["GET"]}
        route = {"name": PUBLIC, "match": match, "is_public": True}
        document["routes"].append(document["routes"][0] | route)
    return value | {"organisations": [_make_organisation(o) for o in organisations]}


def _make_organisation(organisation: Organisation) -> dict[str, Any]:
    value: dict[str, Any] = {
        "name": organisation.name,
        "key_digests": [key_digest(key.encode()) for key in organisation.api_keys],
    }
    if organisation.rate_per_s:
        rate_per_s, burst = organisation.rate_per_s, organisation.burst
        value["quota"] = {"rate_per_s": rate_per_s, "burst": burst}
    return value
