"""Admission of calls at their entry node, before an upstream is chosen."""

from dataclasses import dataclass

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest, Quotas
from lentilsill.documents import Organisation, Route
from lentilsill.outcomes import Outcome, Refused

from .reasons import OVER_QUOTA

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
        # `running_node` sets it if the settings ask for quotas.
        self.quotas: Quotas | None = None

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for their admission."""
        return self.quotas.waiting_count if self.quotas is not None else 0

    async def admit(self, req: CallRequest, route: Route) -> Admission | Refused:
        """Return the admitted call, or its refusal."""
        organisation = self._find_organisation(req, route)
        if organisation is None:
            return Admission(req, route.priority)
        if self.quotas is not None and organisation.quota is not None:
            wait_s = await self.quotas.take(organisation)
            if wait_s is not None:
                # A call with a request key may have run before, through another node.
                outcome = Outcome.UNKNOWN if req.request_key else Outcome.NOT_RUN
                return Refused(outcome, OVER_QUOTA, wait_s)
        return Admission(req, route.priority, organisation.name)

    def give_back(self, admission: Admission) -> None:
        """Return the token of an admitted call that was not run."""
        if self.quotas is None or not admission.organisation:
            return
        organisations = self._ctx.board.snapshot.organisations or {}
        organisation = organisations.get(admission.organisation)
        if organisation is not None and organisation.quota is not None:
            self.quotas.give_back(organisation)

    def _find_organisation(self, req: CallRequest, route: Route) -> Organisation | None:
        """Return the caller's organisation; callers don't identify themselves yet."""
        return None
