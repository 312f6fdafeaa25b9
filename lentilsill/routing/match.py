"""Match of a call to a route, and weighted choice among its targets."""

from collections.abc import Sequence
from random import Random

from lentilsill.documents import Route, RouteTarget, ServiceDocument

__all__ = ["choose_target", "match_route"]


def match_route(document: ServiceDocument, method: str, path: str) -> Route | None:
    """Give the route with the longest matching prefix; the first among equals.

    The query string of `path` takes no part in the match.
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
    """Choose a target with a probability in proportion to its weight."""
    if len(targets) == 1:
        return targets[0] if targets[0].weight > 0 else None
    point = rng.random() * sum(target.weight for target in targets)
    for target in targets:
        point -= target.weight
        if point < 0:
            return target
    return None
