"""The immutable set of documents in force on a node."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from lentilsill.documents import CallerLimits, ServiceDocument

__all__ = ["EMPTY_SNAPSHOT", "Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Documents in force, by service; a snapshot is replaced as a whole.

    `complete_as_of` is the platform revision up to which the node has every
    change. `caller_limits` limits what callers may send; if it is None, the
    limits of the settings apply.
    """

    documents: Mapping[str, ServiceDocument]
    complete_as_of: int
    caller_limits: CallerLimits | None = None


EMPTY_SNAPSHOT = Snapshot(MappingProxyType({}), 0)
