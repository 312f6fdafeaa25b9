"""Indexes of the routes of the documents in force."""

from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import Route, ServiceDocument
from lentilsill.routing import RouteIndex
from lentilsill.versioning import Snapshot

__all__ = ["RouteIndexes"]


class RouteIndexes:
    """Route indexes by service, each built when its document is first used."""

    def __init__(self) -> None:
        self._by_service: dict[str, RouteIndex] = {}

    def match(self, document: ServiceDocument, req: CallRequest) -> Route | None:
        """Return the route of a request in a document, or None."""
        index = self._by_service.get(document.service)
        if index is None or index.document is not document:
            index = self._by_service[document.service] = RouteIndex(document)
        return index.match(req.method, req.path)

    def forget_replaced(self, snapshot: Snapshot) -> None:
        """Drop the indexes of documents that are no longer in force."""
        self._by_service = {
            name: index
            for name, index in self._by_service.items()
            if snapshot.find_routes(name) is index.document
        }
