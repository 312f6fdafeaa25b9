"""Service documents: data classes, validation and canonical form."""

from .model import (
    HedgePolicy,
    Limits,
    RetryPolicy,
    Route,
    RouteTarget,
    ServiceDocument,
    UpstreamSet,
)

__all__ = [
    "HedgePolicy",
    "Limits",
    "RetryPolicy",
    "Route",
    "RouteTarget",
    "ServiceDocument",
    "UpstreamSet",
]
