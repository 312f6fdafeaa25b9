"""How a node speaks to the callers, upstreams and the platform around it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from result import Result

from lentilsill.findings import Findings
from lentilsill.membership import Announcement

from .announcements import parse_announcement

__all__ = ["DEFAULT_INTEGRATION", "HeaderNames", "Integration"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that a node reads and sets; empty for unused ones.

    Parameters
    ----------
    deadline_ms : str
        Time that is left for the call, in ms.
    request_key : str
        Key of a call that runs at most once in total.
    attempt_id : str
        Names the caller's attempt; upstreams repeat it in their answers.
    caller_service : str
        Service on whose host the call began.
    target_upstream : str
        Upstream that the call is for; any other one refuses it.
    not_run : str
        Its presence in an answer proves that the upstream did not run the call.
    answer_digest : str
        Without it a successful answer is not the upstream's.
    load : str
        Calls that run and wait at the upstream, and its slots.
    upstream : str
        Id of the upstream that answers a health check.
    """

    deadline_ms: str = "Lentilsill-Deadline-Ms"
    request_key: str = "Idempotency-Key"
    attempt_id: str = ""
    caller_service: str = ""
    target_upstream: str = ""
    not_run: str = ""
    answer_digest: str = ""
    load: str = ""
    upstream: str = ""


def _no_start(body: bytes) -> None:
    """Give no start time, as the node's own deletions tell none."""


@dataclass(frozen=True, slots=True)
class Integration:
    """Names, paths and formats of the surroundings of a node.

    Parameters
    ----------
    headers : HeaderNames
    routes_by_host : bool
        Whether a call's document is named by its ``Host`` header, rather than by
        the first part of its path.
    accepts_unframed_answers : bool
        Whether an answer without a length is whole when its connection ends
        without a reset.
    upstreams_path, ready_path : str
        Where upstreams announce themselves and readiness is asked.
    health_path : str
        Where upstreams answer health checks.
    parse_announcement : callable
        Reads an announcement from the id and the body.
    parse_start : callable
        Reads the start of an upstream, in ms, from the body of its deletion.
    decoders : mapping
        By kind of the platform's objects, what makes the node's own form.
    documents_kind : str
        Kind of the objects that hold documents.
    """

    headers: HeaderNames = HeaderNames()
    routes_by_host: bool = False
    accepts_unframed_answers: bool = False
    upstreams_path: str = "/lentilsill/upstreams"
    ready_path: str = "/lentilsill/ready"
    health_path: str = "/health"
    parse_announcement: Callable[[str, bytes], Result[Announcement, Findings]] = (
        parse_announcement
    )
    parse_start: Callable[[bytes], int | None] = _no_start
    decoders: Mapping[str, Callable[[Any], Any]] = field(default_factory=dict)
    documents_kind: str = "service"
    # Headers that the node sets itself, in lower case.
    own_headers: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        names = self.headers
        own = (
            names.deadline_ms,
            names.request_key,
            names.caller_service,
            names.target_upstream,
        )
        lower = frozenset(name.lower() for name in own if name)
        object.__setattr__(self, "own_headers", lower)


DEFAULT_INTEGRATION = Integration()
