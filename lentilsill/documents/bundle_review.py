"""Review of a valid bundle: entries without effect, and limits that contradict."""

import re

from lentilsill.findings import Findings

from .bundle import Bundle
from .model import Organisation, Route, ServiceDocument

__all__ = ["review_bundle", "routed_documents"]

# What a node looks up: host names without port in lower case, and paths without query.
# Callers send other characters percent-encoded.
HOST_NAME = re.compile(r"\[[0-9a-f:.]+\]|[a-z0-9._-]+")
PATH_PREFIX = re.compile(r"(/[^\s?\x00-\x1f\x7f-\U0010ffff]*)?")
# A token bucket admits a call when it holds one token.
MIN_BURST = 1


def review_bundle(bundle: Bundle) -> Findings:
    """Return findings on entries that a node accepts, but not as they are meant.

    Examples
    --------
    >>> from lentilsill.documents import parse_bundle
    >>> text = '{"version": 7, "documents": [{"service": "a b"}]}'
    >>> for finding in review_bundle(parse_bundle(text, 1).unwrap()):
    ...     print(finding)
    a b: never matches: callers can't send this host name
    a b: has no routes
    """
    findings = Findings()
    documents = routed_documents(bundle)
    for name, document in documents.items():
        if not HOST_NAME.fullmatch(name):
            findings.add(name, "never matches: callers can't send this host name")
        if not document.routes:
            findings.add(name, "has no routes")
        _review_routes(name, document, findings)
    reached = {
        target.service
        for document in documents.values()
        for route in document.routes
        for target in route.targets
        if target.weight > 0
    }
    for name, document in bundle.documents.items():
        if document.upstream_sets and name not in reached:
            findings.add(name, "gets no calls: no route leads to this service")
    limits = bundle.caller_limits
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        findings.add("caller_limits", "header_timeout_ms is above idle_timeout_ms")
    if bundle.organisations is not None:
        has_public_route = any(
            route.is_public
            for document in documents.values()
            for route in document.routes
        )
        organisations = bundle.organisations.values()
        if not has_public_route and not any(o.key_digests for o in organisations):
            findings.add("organisations", "no call is admitted: there are no keys")
        for organisation in organisations:
            _review_organisation(organisation, findings)
    return findings


def routed_documents(bundle: Bundle) -> dict[str, ServiceDocument]:
    """Return the documents whose routes hold, by host name."""
    documents = {
        name: document
        for name, document in bundle.documents.items()
        if document.routes or not document.upstream_sets
    }
    return documents | dict(bundle.hosts)


def _review_routes(name: str, document: ServiceDocument, findings: Findings) -> None:
    by_prefix: dict[str, list[Route]] = {}
    for route in document.routes:
        place = f"{name}.{route.name}"
        if not PATH_PREFIX.fullmatch(route.path_prefix):
            findings.add(
                place, f"never matches: no path begins with {route.path_prefix!r}"
            )
        earlier_routes = by_prefix.setdefault(route.path_prefix, [])
        for earlier in earlier_routes:
            takes_all = not earlier.methods
            if takes_all or (route.methods and route.methods <= earlier.methods):
                findings.add(
                    place,
                    f"never matches: {earlier.name!r} before it has the same prefix",
                )
                break
        earlier_routes.append(route)
        if not any(target.weight > 0 for target in route.targets):
            findings.add(place, "refuses all calls: no target has a weight")
        if route.objective_ms > route.deadline_ms:
            findings.add(
                place,
                f"the objective of {route.objective_ms} ms is after the deadline of "
                f"{route.deadline_ms} ms",
            )


def _review_organisation(organisation: Organisation, findings: Findings) -> None:
    place = f"organisations.{organisation.name}"
    if not organisation.key_digests:
        findings.add(place, "never matches: has no keys")
    quota = organisation.quota
    if quota is not None and quota.burst < MIN_BURST:
        findings.add(
            place,
            f"a burst of {quota.burst:g} holds less than one call, at a rate of "
            f"{quota.rate_per_s:g} per second",
        )
