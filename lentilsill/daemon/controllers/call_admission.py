"""Admission of calls at their entry node, before an upstream is chosen."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import HeaderNames
from lentilsill.daemon.interfaces import CallRequest, Quotas
from lentilsill.documents import Organisation, Route, key_digest
from lentilsill.outcomes import CallResult, Outcome, Refused
from lentilsill.wire.messages import Call

from .call_results import refuse_call
from .reasons import OVER_QUOTA, UNKNOWN_KEY

__all__ = ["Admission", "CallAdmission", "forwarded_headers"]

Header = tuple[str, str]

KEY_HEADER = "authorization"
KEY_SCHEME = "bearer"


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
    """Decides whether a call of this node's callers may be sent to an upstream.

    Callers need an API key while the settings and the documents in force have
    organisations. A key is looked up when its call starts, by the documents that are in
    force at that moment.

    `quotas` limits the calls of organisations that have a quota; None admits all.
    """

    def __init__(self, ctx: Context, header_names: HeaderNames) -> None:
        self.quotas: Quotas | None = None
        self._ctx = ctx
        self._header_name = header_names.organisation
        self._own_header = header_names.organisation.lower()
        self._organisations: Mapping[str, Organisation] | None = None
        self._by_digest: dict[str, Organisation] = {}
        ctx.board.dump_parts["organisations"] = self._dump

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for their admission."""
        return self.quotas.waiting_count if self.quotas is not None else 0

    async def admit(self, req: CallRequest, route: Route) -> Admission | Refused:
        """Return the admitted call, or its refusal."""
        if not self._ctx.cfg.organisations:
            return Admission(req, route.priority)
        organisations = self._ctx.board.snapshot.organisations
        if organisations is None:
            # The upstreams check the credentials themselves.
            forwarded = tuple(
                header
                for header in req.headers
                if header[0].lower() != self._own_header
            )
            return Admission(replace(req, headers=forwarded), route.priority)
        headers, credentials = _split_off_credentials(req.headers, self._own_header)
        if organisations is not self._organisations:
            self._index(organisations)
        key = _find_key(credentials)
        organisation = None if key is None else self._by_digest.get(key_digest(key))
        if organisation is None:
            if not route.is_public:
                if key is None:
                    self._ctx.count("calls.missing_key")
                else:
                    self._ctx.count("calls.unknown_key")
                return refuse_call(req, UNKNOWN_KEY)
            return Admission(replace(req, headers=tuple(headers)), route.priority)
        if self.quotas is not None and organisation.quota is not None:
            deadline_ms = min(route.deadline_ms, req.deadline_ms or route.deadline_ms)
            wait_s = await self.quotas.take(organisation, deadline_ms / 1000)
            if wait_s is not None:
                return refuse_call(req, OVER_QUOTA, wait_s)
        # Header values are sent in Latin-1; the bytes on the connection are UTF-8.
        headers.append(
            (self._header_name, organisation.name.encode().decode("latin-1"))
        )
        priority, quota = organisation.priority, organisation.quota
        return Admission(
            replace(req, headers=tuple(headers)),
            route.priority if priority is None else priority,
            organisation.name,
            0.0 if quota is None else quota.rate_per_s,
        )

    def record_end(self, admission: Admission, result: CallResult | None) -> None:
        """Record the result of an admitted call; None if its caller disconnected."""
        is_not_run = isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN
        # An organisation has a weight if it has a quota.
        if self.quotas is not None and admission.weight and is_not_run:
            self.quotas.give_back(admission.organisation)

    def _index(self, organisations: Mapping[str, Organisation]) -> None:
        self._organisations = organisations
        self._by_digest = {}
        for organisation in organisations.values():
            for digest in organisation.key_digests:
                self._by_digest.setdefault(digest, organisation)

    def _dump(self) -> dict[str, Any]:
        in_force = self._ctx.board.snapshot.organisations
        return {
            "needs_key": self._ctx.cfg.organisations and in_force is not None,
            "organisations": len(in_force or ()),
            "keys": sum(len(item.key_digests) for item in (in_force or {}).values()),
        }


def forwarded_headers(ctx: Context, names: HeaderNames, call: Call) -> Iterable[Header]:
    """Return the headers of a call that its upstream may get.

    The entry node may have passed credentials on, since it runs an earlier release or
    has a version without organisations in force.
    """
    if not ctx.cfg.organisations or ctx.board.snapshot.organisations is None:
        return call.headers
    own_header = "" if call.organisation else names.organisation.lower()
    return _split_off_credentials(call.headers, own_header)[0]


def _split_off_credentials(
    headers: Iterable[Header], own_header: str
) -> tuple[list[Header], list[str]]:
    """Return other headers than the node's own, and the values of the credentials."""
    others: list[Header] = []
    credentials: list[str] = []
    for header in headers:
        name = header[0].lower()
        if name == KEY_HEADER:
            credentials.append(header[1])
        elif name != own_header:
            others.append(header)
    return others, credentials


def _find_key(credentials: Sequence[str]) -> bytes | None:
    """Return the API key of a request, None without one.

    A request with several credentials has no key, since it is not clear which one
    holds.

    Examples
    --------
    >>> _find_key(["Bearer k-1"])
    b'k-1'
    >>> _find_key(["Basic k-1"]) is None, _find_key(["Bearer k-1"] * 2) is None
    (True, True)
    """
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    # The bytes of a header are decoded as Latin-1.
    return key.strip(" \t").encode("latin-1", "replace") or None
