"""Admission of calls at their entry node, before an upstream is chosen."""

from dataclasses import dataclass

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import Route
from lentilsill.outcomes import Refused

__all__ = ["Admission", "CallAdmission"]


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted call.

    Parameters
    ----------
    req : CallRequest
        The request with the headers that the upstream gets.
    priority : int
        0 is the most urgent.
    organisation : str
        Name of the caller's organisation, empty without one.
    weight : float
        Weight of the organisation where organisations compete for slots; 0 if all
        weigh the same.
    """

    req: CallRequest
    priority: int
    organisation: str = ""
    weight: float = 0.0


class CallAdmission:
    """Decides whether a call of this node's callers may be sent to an upstream."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    async def admit(self, req: CallRequest, route: Route) -> Admission | Refused:
        """Return the admitted call, or its refusal."""
        return Admission(req, route.priority)
