"""Validation of service documents, which collects all findings."""

import json
from collections.abc import Iterable
from functools import lru_cache
from types import MappingProxyType
from typing import Any

from pydantic import ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings

from .checks import check_semantics
from .input_models import (
    BundleRouteModel,
    DocumentModel,
    OrganisationModel,
    RouteModel,
)
from .model import (
    HedgePolicy,
    Limits,
    Organisation,
    Quota,
    RetryPolicy,
    Route,
    RouteTarget,
    ServiceDocument,
    UpstreamSet,
)

__all__ = [
    "MAX_TEXT_BYTES",
    "convert_document",
    "convert_organisation",
    "convert_route",
    "format_place",
    "parse_document",
]

MAX_TEXT_BYTES = 256 * 1024
# Findings quote input; the limit keeps status objects small.
MAX_FINDINGS = 50
# Thousands of routes have the same few targets and policies, which they share.
MAX_SHARED_PARTS = 1024


def parse_document(
    text_or_value: Any, service: str, version: int
) -> Result[ServiceDocument, Findings]:
    """Validate the document of `service` at version `version`.

    Parameters
    ----------
    text_or_value : str or JSON value
        JSON text, or the value decoded from it.
    service : str
        Name of the platform object; the document's `service` must be the same.
    version : int
        The platform's revision at the write.

    Returns
    -------
    Result
        The document, or its findings, of which at most 50 are returned.

    Examples
    --------
    >>> parse_document('{"service": "slots"}', "slots", 3).unwrap().version
    3
    >>> for finding in parse_document('{"service": "b", "x": 1}', "a", 3).err():
    ...     print(finding)
    x: Extra inputs are not permitted
    service: is 'b', but the object is named 'a'
    """
    findings = Findings()
    value = _decode(text_or_value, findings)
    if findings:
        return Err(findings)
    model = None
    try:
        model = DocumentModel.model_validate(value)
    except ValidationError as exc:
        for error in exc.errors(include_url=False, include_input=False):
            findings.add(format_place(error["loc"]), error["msg"])
    check_semantics(value, service, findings)
    if model is None or findings:
        del findings.items[MAX_FINDINGS:]
        return Err(findings)
    return Ok(convert_document(model, version))


def _decode(text_or_value: Any, findings: Findings) -> Any:
    try:
        if not isinstance(text_or_value, str):
            text = json.dumps(text_or_value)
            _check_size(text, findings)
            return text_or_value
        if _check_size(text_or_value, findings):
            return json.loads(
                text_or_value,
                object_pairs_hook=lambda pairs: _build_object(pairs, findings),
            )
    except (ValueError, TypeError) as exc:
        findings.add("document", f"not JSON: {exc}")
    except RecursionError:
        findings.add("document", "nested too deeply")
    return None


def _check_size(text: str, findings: Findings) -> bool:
    size = len(text.encode("utf-8", "surrogatepass"))
    if size <= MAX_TEXT_BYTES:
        return True
    findings.add("document", f"is over the limit of {MAX_TEXT_BYTES} bytes")
    return False


def _build_object(pairs: list[tuple[str, Any]], findings: Findings) -> dict[str, Any]:
    obj = dict(pairs)
    if len(obj) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                findings.add("document", f"key {key[:80]!r} appears twice in an object")
            seen.add(key)
    return obj


def format_place(loc: Iterable[str | int]) -> str:
    """Return the place of a pydantic error in the form ``routes[0].name``."""
    place = ""
    for part in loc:
        if isinstance(part, int):
            place += f"[{part}]"
        elif part != "[key]":
            place += f".{part[:80]}" if place else part[:80]
    return place or "document"


def convert_document(
    model: DocumentModel, version: int, routes: tuple[Route, ...] | None = None
) -> ServiceDocument:
    """Convert a validated model; `routes` replaces the routes of the model."""
    if routes is None:
        routes = tuple(convert_route(route) for route in model.routes)
    sets = {
        name: UpstreamSet(name, tuple(sorted(item.labels.items())), item.leaving)
        for name, item in sorted(model.upstream_sets.items())
    }
    limits = model.limits
    return ServiceDocument(
        service=model.service,
        version=version,
        upstream_sets=MappingProxyType(sets),
        routes=routes,
        limits=Limits(limits.slots_per_upstream, limits.queue_per_upstream),
        requires=tuple(sorted(set(model.requires))),
    )


def convert_route(route: RouteModel) -> Route:
    """Convert a validated model of a route."""
    hedge = route.hedge
    return Route(
        name=route.name,
        path_prefix=route.match.path_prefix,
        methods=_share_methods(tuple(route.match.methods)),
        idempotent=route.idempotent,
        deadline_ms=route.deadline_ms,
        targets=_share_targets(
            tuple(
                (target.service, target.upstream_set, target.weight)
                for target in route.targets
            )
        ),
        retry=_share_retry_policy(
            route.retry.max_attempts, float(route.retry.budget_percent)
        ),
        hedge=None
        if hedge is None
        else HedgePolicy(float(hedge.delay_ms), float(hedge.budget_percent)),
        priority=route.priority,
        objective_ms=route.objective_ms,
        is_public=isinstance(route, BundleRouteModel) and route.is_public,
    )


@lru_cache(MAX_SHARED_PARTS)
def _share_targets(
    targets: tuple[tuple[str, str, int], ...],
) -> tuple[RouteTarget, ...]:
    return tuple(RouteTarget(*target) for target in targets)


@lru_cache(MAX_SHARED_PARTS)
def _share_methods(methods: tuple[str, ...]) -> frozenset[str]:
    return frozenset(methods)


@lru_cache(MAX_SHARED_PARTS)
def _share_retry_policy(max_attempts: int, budget_percent: float) -> RetryPolicy:
    return RetryPolicy(max_attempts, budget_percent)


def convert_organisation(model: OrganisationModel) -> Organisation:
    """Convert a validated model of an organisation."""
    quota = model.quota
    return Organisation(
        name=model.name,
        # Calls look keys up in an index; a set would take 2 KB for 20 keys.
        key_digests=tuple(model.key_digests),
        priority=model.priority,
        quota=None if quota is None else Quota(quota.rate_per_s, quota.burst),
    )
