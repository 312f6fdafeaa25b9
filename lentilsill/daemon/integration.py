"""Headers, paths and formats between a node and its callers, upstreams and platform."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from result import Ok, Result

from lentilsill.findings import Findings
from lentilsill.membership import Announcement

from .announcements import parse_announcement

__all__ = ["DEFAULT_INTEGRATION", "HeaderNames", "Integration"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that a node reads and sets; empty if unused.

    Parameters
    ----------
    deadline_ms : str
        Remaining time of the call, in ms.
    request_key : str
        Key of a call that must run at most once.
    attempt_id : str
        Id of the caller's attempt; upstreams repeat it in their answers.
    caller_service : str
        Service of the host on which the call began.
    target_upstream : str
        Upstream that the call is for; any other upstream refuses it.
    not_run : str
        Its presence in an answer proves that the upstream did not run the call.
    answer_digest : str
        A successful answer without it is not accepted as the upstream's.
    load : str
        Running and waiting calls of the upstream, its slots, and the time that work
        takes on its host at the moment, in percent of the usual time.
    upstream : str
        Id of the upstream, in its answer to a health check.
    limit : tuple of str
        Calls a second that the upstream takes from all nodes together, in its answers;
        the first of these names that an answer has counts.
    leaving : tuple of str
        Names of the header with the value 1 in the answers of an upstream that leaves.
    organisation : str
        Name of the caller's organisation, which only the node sets.
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
    limit: tuple[str, ...] = ("Lentilsill-Limit",)
    leaving: tuple[str, ...] = ("Lentilsill-Leaving",)
    organisation: str = "Lentilsill-Organisation"


def _no_start_time(body: bytes) -> Result[int | None, Findings]:
    """Return None: deletions in the default format contain no start time."""
    return Ok(None)


@dataclass(frozen=True, slots=True)
class Integration:
    """Interface of a node to the callers, upstreams and platform around it.

    Parameters
    ----------
    headers : HeaderNames
    routes_by_host : bool
        Whether the ``Host`` header of a call names its document, instead of the
        first part of its path.
    accepts_unframed_answers : bool
        Whether an answer without a length is complete when its connection closes
        without a reset.
    upstreams_path, ready_path : str
        Paths on which upstreams announce themselves and the node reports readiness.
    health_path : str
        Path on which upstreams answer health checks.
    parse_announcement : callable
        Parses an announcement from the upstream's id and the request body.
    parse_start_ms : callable
        Parses the start time of an upstream, in ms, from the body of its deletion;
        None if it names none.
    parse_versioned_announcement : callable or None
        Used instead of `parse_announcement` if the settings enable roll-outs; the
        version of the upstream becomes its label `version`.
    decoders : mapping
        For each kind of platform object, the function that decodes its value.
    documents_kind : str
        Kind of the platform objects that hold documents.
    documents_name : str
        Name of the only such object; empty if there may be several.
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
    parse_start_ms: Callable[[bytes], Result[int | None, Findings]] = _no_start_time
    parse_versioned_announcement: (
        Callable[[str, bytes], Result[Announcement, Findings]] | None
    ) = None
    decoders: Mapping[str, Callable[[Any], Any]] = field(default_factory=dict)
    documents_kind: str = "service"
    documents_name: str = ""
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
