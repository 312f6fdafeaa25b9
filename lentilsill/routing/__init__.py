"""Selection of the route and the upstream for a call.

A route divides its calls among upstream sets. The local domain is the failure domain of
the node that selects; its upstreams are preferred to those of other domains.
"""

from .candidates import Candidate, build_candidates, is_leaving, version_of
from .even import MIN_EVEN_FOUND_SHARE, EvenSelector
from .load import CallProfile
from .match import RouteIndex, choose_target, match_route
from .selector import Selector
from .versions import VersionFilter

__all__ = [
    "MIN_EVEN_FOUND_SHARE",
    "CallProfile",
    "Candidate",
    "EvenSelector",
    "RouteIndex",
    "Selector",
    "VersionFilter",
    "build_candidates",
    "choose_target",
    "is_leaving",
    "match_route",
    "version_of",
]
