"""Age of the knowledge that a node's documents are the platform's newest."""

__all__ = ["Confirmation", "read_due_age_s", "watch_wait_s"]

# Shares of the time within which a change must be in force everywhere. Watches end so
# often that their answers keep the age below `FIRST_BACKUP_SHARE`, and the last rank
# that reads still has time to pass a change on.
WATCH_WAIT_SHARE = 0.45
FIRST_BACKUP_SHARE = 0.65
BACKUP_STEP_SHARE = 0.02
# Ranks that read the platform in place of silent watchers. The bound limits the
# requests of a domain during an outage of the platform.
MAX_BACKUP_READERS = 5

# Source of a confirmation before the first read.
START = "start"


class Confirmation:
    """Latest time at which a node's documents were the newest of the platform.

    The source is a read of the platform, by this node or by a peer that reports the
    age of its own confirmation. A node that has just started counts from its start.
    Times are in seconds of one monotonic clock.

    Examples
    --------
    >>> confirmation = Confirmation(now=10.0)
    >>> confirmation.record(12.0, "peer"), confirmation.record(11.0, "platform")
    (True, False)
    >>> confirmation.age_s(13.5), confirmation.source
    (1.5, 'peer')
    """

    def __init__(self, now: float) -> None:
        self.confirmed_at = now
        self.source = START
        self._claims: dict[int, tuple[float, str]] = {}

    @property
    def is_known(self) -> bool:
        """Whether a read of the platform stands behind it, and not only the start."""
        return self.source != START

    def age_s(self, now: float) -> float:
        """Return the age of the confirmation in seconds, at least 0."""
        return max(0.0, now - self.confirmed_at)

    def record(self, at: float, source: str) -> bool:
        """Record that the documents were the newest at `at`; False if known later."""
        if at <= self.confirmed_at:
            return False
        self.confirmed_at = at
        self.source = source
        return True

    def add_claim(self, complete_as_of: int, at: float, source: str) -> None:
        """Remember that the documents of revision `complete_as_of` were the newest.

        This node does not hold them yet; `apply_claims` confirms it once it does.
        """
        self._claims = {
            revision: claim
            for revision, claim in self._claims.items()
            if revision > complete_as_of
        }
        self._claims[complete_as_of] = (at, source)

    def apply_claims(self, complete_as_of: int) -> bool:
        """Apply the claims up to `complete_as_of`; return whether any is new."""
        due = [revision for revision in self._claims if revision <= complete_as_of]
        return any([self.record(*self._claims.pop(revision)) for revision in due])


def watch_wait_s(in_force_s: float, longest_s: float) -> float:
    """Return how long a watch may wait, so that its answers confirm often enough.

    Examples
    --------
    >>> watch_wait_s(2.0, 1.5), watch_wait_s(13.0, 3.0)
    (0.9, 3.0)
    """
    return min(longest_s, WATCH_WAIT_SHARE * in_force_s)


def read_due_age_s(
    rank: int, watchers: int, in_force_s: float, lacks_source: bool = False
) -> float | None:
    """Return the age of the confirmation at which a node reads the platform itself.

    The watchers always read. The next ranks follow one after the other, each within
    the time in which a change must be in force; the result is None for ranks that
    never read. A node that `lacks_source`, as no peer can send it the documents, reads
    like the last of the ranks that do.

    Examples
    --------
    >>> [read_due_age_s(rank, 2, 20.0) for rank in (1, 2, 4, 7)]
    [0.0, 13.0, 13.8, None]
    >>> read_due_age_s(7, 2, 20.0, lacks_source=True)
    14.6
    """
    position = rank - watchers
    if position < 0:
        return 0.0
    if position >= MAX_BACKUP_READERS:
        if not lacks_source:
            return None
        position = MAX_BACKUP_READERS - 1
    return in_force_s * (FIRST_BACKUP_SHARE + BACKUP_STEP_SHARE * position)
