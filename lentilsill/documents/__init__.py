"""Service documents: data classes, validation and canonical form."""

from .canonical import References, canonical_text, references
from .model import (
    HedgePolicy,
    Limits,
    RetryPolicy,
    Route,
    RouteTarget,
    ServiceDocument,
    UpstreamSet,
)
from .parse import MAX_TEXT_BYTES, parse_document

__all__ = [
    "MAX_TEXT_BYTES",
    "HedgePolicy",
    "Limits",
    "References",
    "RetryPolicy",
    "Route",
    "RouteTarget",
    "ServiceDocument",
    "UpstreamSet",
    "canonical_text",
    "parse_document",
    "references",
]
