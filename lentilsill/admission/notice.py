"""What an upstream says about itself in its answers."""

from dataclasses import dataclass, replace

__all__ = ["Notice", "newer_notice"]


@dataclass(frozen=True, slots=True)
class Notice:
    """What a process of an upstream said in its answer.

    Parameters
    ----------
    limit_per_s : float or None
        Calls a second that it takes from all nodes together; None if it names none.
    heard_at : float
        When the head of the answer arrived, in seconds of the monotonic clock of the
        node that holds the notice.
    started_ms : int
        Start of the process, in ms since the epoch by its own clock; 0 if unknown.
    is_leaving : bool
        Whether the process leaves, which is final for it.
    """

    limit_per_s: float | None
    heard_at: float
    started_ms: int = 0
    is_leaving: bool = False

    @property
    def is_plain(self) -> bool:
        """Whether the upstream said nothing that restricts its calls."""
        return self.limit_per_s is None and not self.is_leaving


def newer_notice(known: Notice | None, new: Notice) -> Notice:
    """Return which of two notices on an upstream holds.

    A later process of the upstream supersedes an earlier one, and of one process the
    answer that arrived later counts. A process that leaves does not come back.

    Examples
    --------
    >>> old, restarted = Notice(5.0, 20.0, 1000), Notice(None, 10.0, 2000)
    >>> newer_notice(old, restarted) is newer_notice(restarted, old) is restarted
    True
    >>> newer_notice(old, Notice(None, 19.0)) == old
    True
    """
    if known is None:
        return new
    if known.started_ms and new.started_ms and known.started_ms != new.started_ms:
        return new if new.started_ms > known.started_ms else known
    newest = new if new.heard_at > known.heard_at else known
    return replace(
        newest,
        started_ms=max(known.started_ms, new.started_ms),
        is_leaving=known.is_leaving or new.is_leaving,
    )
