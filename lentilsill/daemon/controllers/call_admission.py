"""Admission of calls at their entry node, before an upstream is chosen."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import HeaderNames
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import Organisation, Route, key_digest
from lentilsill.outcomes import CallResult, Outcome, Refused

from .reasons import OVER_QUOTA, UNKNOWN_KEY

__all__ = ["Admission", "CallAdmission", "QuotaGate"]

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


class QuotaGate(Protocol):
    """Tokens for the calls of organisations that have a quota."""

    async def take(self, organisation: Organisation) -> float | None:
        """Take a token; None if there was one, otherwise the seconds to wait."""
        ...

    def give_back(self, organisation: str) -> None:
        """Take back the token of a call that was proved not run."""
        ...


class CallAdmission:
    """Decides whether a call of this node's callers may be sent to an upstream.

    Callers need an API key while the settings and the documents in force have
    organisations. A key is looked up when its call starts, by the documents that are in
    force at that moment.

    `quotas` limits the calls of organisations that have a quota; None admits all.
    """

    def __init__(self, ctx: Context, header_names: HeaderNames) -> None:
        self.quotas: QuotaGate | None = None
        self._ctx = ctx
        self._header_name = header_names.organisation
        self._own_headers = frozenset({header_names.organisation.lower()})
        self._own_headers_and_key = self._own_headers | {KEY_HEADER}
        self._organisations: Mapping[str, Organisation] | None = None
        self._by_digest: dict[str, Organisation] = {}
        ctx.board.dump_parts["organisations"] = self._dump

    async def admit(self, req: CallRequest, route: Route) -> Admission | Refused:
        """Return the admitted call, or its refusal."""
        if not self._ctx.cfg.organisations:
            return Admission(req, route.priority)
        organisations = self._ctx.board.snapshot.organisations
        if organisations is None:
            headers = _without(req.headers, self._own_headers)
            return Admission(replace(req, headers=headers), route.priority)
        if organisations is not self._organisations:
            self._index(organisations)
        key = _find_key(req.headers)
        organisation = None if key is None else self._by_digest.get(key_digest(key))
        if organisation is None:
            if not route.is_public:
                if key is None:
                    self._ctx.count("calls.missing_key")
                else:
                    self._ctx.count("calls.unknown_key")
                return _refused(req, UNKNOWN_KEY)
            headers = _without(req.headers, self._own_headers_and_key)
            return Admission(replace(req, headers=headers), route.priority)
        if self.quotas is not None and organisation.quota is not None:
            wait_s = await self.quotas.take(organisation)
            if wait_s is not None:
                return _refused(req, OVER_QUOTA, wait_s)
        return self._admit(req, route, organisation)

    def record_end(self, admission: Admission, result: CallResult | None) -> None:
        """Record the result of an admitted call; None if its caller disconnected."""
        is_not_run = isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN
        # An organisation has a weight if it has a quota.
        if self.quotas is not None and admission.weight and is_not_run:
            self.quotas.give_back(admission.organisation)

    def _admit(
        self, req: CallRequest, route: Route, organisation: Organisation
    ) -> Admission:
        # Header values are sent in Latin-1; the bytes on the connection are UTF-8.
        name = organisation.name.encode().decode("latin-1")
        headers = (
            *_without(req.headers, self._own_headers_and_key),
            (self._header_name, name),
        )
        priority, quota = organisation.priority, organisation.quota
        return Admission(
            replace(req, headers=headers),
            route.priority if priority is None else priority,
            organisation.name,
            0.0 if quota is None else quota.rate_per_s,
        )

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


def _without(
    headers: tuple[tuple[str, str], ...], names: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return headers without those with the given names, which are in lower case."""
    return tuple(header for header in headers if header[0].lower() not in names)


def _find_key(headers: tuple[tuple[str, str], ...]) -> bytes | None:
    """Return the API key of a request, None without one.

    A request with several credentials has no key, since it is not clear which one
    holds.

    Examples
    --------
    >>> _find_key((("Accept", "*/*"), ("Authorization", "Bearer k-1")))
    b'k-1'
    >>> _find_key((("Authorization", "Basic k-1"),)) is None
    True
    """
    values = [value for name, value in headers if name.lower() == KEY_HEADER]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    # The bytes of a header are decoded as Latin-1.
    return key.strip(" \t").encode("latin-1", "replace") or None


def _refused(req: CallRequest, reason: str, retry_after_s: float = 0.0) -> Refused:
    """Refuse a call that is not sent.

    A call with a request key may have run before through another node.
    """
    outcome = Outcome.UNKNOWN if req.request_key else Outcome.NOT_RUN
    return Refused(outcome, reason, retry_after_s)
