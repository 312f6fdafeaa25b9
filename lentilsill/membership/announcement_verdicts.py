"""Evidence about an announcement, and the verdicts on it."""

from dataclasses import dataclass
from enum import StrEnum

from .announcement import Announcement
from .records import UpstreamRecord

__all__ = [
    "Accepted",
    "CheckedUpstream",
    "Disputed",
    "HostUpstream",
    "Objection",
    "Outdated",
    "Refused",
    "Verdict",
]


class Objection(StrEnum):
    """Why an announcement does not count without further evidence."""

    OTHER_SERVICE = "other_service"
    OTHER_ADDRESS = "other_address"
    # A health check was answered by an upstream with another id.
    OTHER_UPSTREAM = "other_upstream"
    # Another upstream is in use on the address.
    NOT_CONFIRMED = "not_confirmed"
    EARLIER_START = "earlier_start"
    EARLIER_SEQUENCE = "earlier_sequence"
    DELETED = "deleted"
    LEFT = "left"
    # A later process has the id of one that has left.
    RETURNED = "returned"
    # A health check has lately shown that it stays, though it was said to leave.
    STAYING = "staying"
    # A health check has failed since the start of the node.
    DOUBTED = "doubted"
    TOO_MANY = "too_many"


@dataclass(frozen=True, slots=True)
class HostUpstream:
    """What a node's settings say about the upstream of its host.

    Parameters
    ----------
    service, address : str
        Empty if the settings don't name them.
    announce_timeout_s : float
        Time without an announcement after which an upstream is dropped, in seconds.
    has_health_checks : bool
        Whether health checks name the upstream that answers them.
    """

    service: str = ""
    address: str = ""
    announce_timeout_s: float = 6.0
    has_health_checks: bool = False

    def mismatch(self, record: UpstreamRecord) -> Objection | None:
        """Return why a record can't be that of this host's upstream, if it can't."""
        if self.service and record.service != self.service:
            return Objection.OTHER_SERVICE
        if self.address and record.address != self.address:
            return Objection.OTHER_ADDRESS
        return None


@dataclass(frozen=True, slots=True)
class CheckedUpstream:
    """Answer to a health check: the id of the upstream, and whether it takes calls."""

    upstream: str
    is_ready: bool

    def names(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream that answered is that of a record."""
        return self.upstream == record.upstream


@dataclass(frozen=True, slots=True)
class Accepted:
    """The announcement counts.

    `overruled` is the objection that the evidence outweighed, if there was one.
    """

    overruled: Objection | None = None


@dataclass(frozen=True, slots=True)
class Outdated:
    """The announcement is not the newest, and would change nothing if it were.

    `is_alive` is set if it shows all the same that the upstream in use is alive.
    """

    objection: Objection
    known: Announcement | None
    is_alive: bool = False


@dataclass(frozen=True, slots=True)
class Disputed:
    """A health check of the upstream can decide; until then nothing changes."""

    objection: Objection
    known: Announcement | None
    is_alive: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The announcement has no effect."""

    objection: Objection
    known: Announcement | None = None
    is_alive: bool = False


Verdict = Accepted | Outdated | Disputed | Refused
