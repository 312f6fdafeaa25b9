"""The immutable set of documents in force on a node."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from lentilsill.documents import CallerLimits, ServiceDocument

__all__ = ["EMPTY_SNAPSHOT", "Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Documents in force, by service; replaced as a whole.

    `complete_as_of` is the platform revision up to which the node's knowledge
    has no gap. `caller_limits` bounds what callers may send; None leaves that
    to the settings.
    """

    documents: Mapping[str, ServiceDocument]
    complete_as_of: int
    caller_limits: CallerLimits | None = None


EMPTY_SNAPSHOT = Snapshot(MappingProxyType({}), 0)
