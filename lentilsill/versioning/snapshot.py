"""The immutable set of documents in force on a node."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from lentilsill.documents import CallerLimits, Organisation, ServiceDocument

__all__ = ["EMPTY_SNAPSHOT", "Snapshot"]


def _no_documents() -> Mapping[str, ServiceDocument]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Documents in force, by service; a snapshot is replaced as a whole.

    `complete_as_of` is the platform revision up to which the node has every
    change. `caller_limits` limits what callers may send; if it is None, the
    limits of the settings apply. `hosts` holds the virtual hosts that have the name of
    a service. `organisations` holds the organisations by name; if it is None, callers
    need no API key.
    """

    documents: Mapping[str, ServiceDocument]
    complete_as_of: int
    caller_limits: CallerLimits | None = None
    hosts: Mapping[str, ServiceDocument] = field(default_factory=_no_documents)
    organisations: Mapping[str, Organisation] | None = None

    def find_routes(self, name: str) -> ServiceDocument | None:
        """Return the document whose routes hold for calls to a host or service."""
        return self.hosts.get(name) or self.documents.get(name)


EMPTY_SNAPSHOT = Snapshot(MappingProxyType({}), 0)
