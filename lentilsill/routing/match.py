"""Matching of calls to routes, and weighted choice among the targets of a route."""

from collections.abc import Sequence
from random import Random

from lentilsill.documents import Route, RouteTarget, ServiceDocument

__all__ = ["RouteIndex", "choose_target", "match_route"]


class RouteIndex:
    """Index of the routes of a document by path prefix.

    A match looks up one prefix for each prefix length in the document, instead of
    comparing the path with thousands of routes.

    Examples
    --------
    >>> from lentilsill.documents import parse_document
    >>> document = parse_document({"service": "slots"}, "slots", 1).unwrap()
    >>> RouteIndex(document).match("GET", "/a") is None
    True
    """

    def __init__(self, document: ServiceDocument) -> None:
        self.document = document
        self._routes: dict[str, list[Route]] = {}
        for route in document.routes:
            self._routes.setdefault(route.path_prefix, []).append(route)
        self._lengths = sorted({len(prefix) for prefix in self._routes}, reverse=True)

    def match(self, method: str, path: str) -> Route | None:
        """Return the same route as `match_route` does for the document."""
        path = path.partition("?")[0]
        for length in self._lengths:
            if length > len(path):
                continue
            for route in self._routes.get(path[:length], ()):
                if not route.methods or method in route.methods:
                    return route
        return None


def match_route(document: ServiceDocument, method: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix; on a tie, the first one.

    The query string of `path` is ignored.
    """
    path = path.partition("?")[0]
    best: Route | None = None
    for route in document.routes:
        if (
            path.startswith(route.path_prefix)
            and (not route.methods or method in route.methods)
            and (best is None or len(route.path_prefix) > len(best.path_prefix))
        ):
            best = route
    return best


def choose_target(targets: Sequence[RouteTarget], rng: Random) -> RouteTarget | None:
    """Choose a target at random with probability proportional to its weight."""
    if len(targets) == 1:
        return targets[0] if targets[0].weight > 0 else None
    point = rng.random() * sum(target.weight for target in targets)
    for target in targets:
        point -= target.weight
        if point < 0:
            return target
    return None
