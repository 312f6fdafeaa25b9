"""Client of the platform's object API."""

from .model import (
    AnswerLost,
    Compacted,
    Conflict,
    Listing,
    ObjectApi,
    PlatformError,
    RateLimited,
    Rejected,
    StoredObject,
    Unavailable,
    WatchBatch,
)

__all__ = [
    "AnswerLost",
    "Compacted",
    "Conflict",
    "Listing",
    "ObjectApi",
    "PlatformError",
    "RateLimited",
    "Rejected",
    "StoredObject",
    "Unavailable",
    "WatchBatch",
]
