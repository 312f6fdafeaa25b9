"""Service documents and bundles: data classes, validation and canonical text.

The document of a service has its routes, and its upstream sets, which select upstreams
by label. A bundle consists of documents that are put in force together.
"""

from .bundle import Bundle, parse_bundle
from .bundle_differences import compare_bundles
from .bundle_review import review_bundle
from .bundle_text import BundleReader, bundle_text
from .canonical import References, canonical_text, references
from .key_digests import key_digest
from .model import (
    CallerLimits,
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
from .organisation_lines import without_organisations
from .parse import MAX_TEXT_BYTES, parse_document

__all__ = [
    "MAX_TEXT_BYTES",
    "Bundle",
    "BundleReader",
    "CallerLimits",
    "HedgePolicy",
    "Limits",
    "Organisation",
    "Quota",
    "References",
    "RetryPolicy",
    "Route",
    "RouteTarget",
    "ServiceDocument",
    "UpstreamSet",
    "bundle_text",
    "canonical_text",
    "compare_bundles",
    "key_digest",
    "parse_bundle",
    "parse_document",
    "references",
    "review_bundle",
    "without_organisations",
]
