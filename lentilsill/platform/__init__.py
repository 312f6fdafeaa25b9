"""Client for the platform's object API, and the formats of the users' platform."""

from .client import HttpObjectApi
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
    "HttpObjectApi",
    "Listing",
    "ObjectApi",
    "PlatformError",
    "RateLimited",
    "Rejected",
    "StoredObject",
    "Unavailable",
    "WatchBatch",
]
