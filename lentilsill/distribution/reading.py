"""Whether a node that watches the platform lists or watches next."""

__all__ = ["Reading"]

# A watch gives every version that it has missed. Where one version takes longer than
# this on the host's network link, the next one may have come meanwhile.
SLOW_TRANSFER_S = 0.2


class Reading:
    """Decides between a list and a watch.

    With `newest_only` a version replaces all earlier ones, as that of a bundle does.
    A thin network link then carries the newest version once rather than all that came
    since: versions that arrive faster than the link carries them would otherwise
    make each watch longer than the one before.

    Examples
    --------
    >>> reading = Reading(newest_only=True)
    >>> reading.watched(changes=3, transfer_s=0.8)
    >>> reading.must_list
    True
    >>> reading.listed(is_news=False, transfer_s=0.8)
    >>> reading.must_list
    False
    """

    def __init__(self, newest_only: bool) -> None:
        self.newest_only = newest_only
        self.must_list = False

    def watched(self, changes: int, transfer_s: float) -> None:
        """A watch was answered."""
        self.must_list = self._may_be_behind(changes > 0, transfer_s)

    def listed(self, is_news: bool, transfer_s: float) -> None:
        """A list was answered; `is_news` tells that it held something new."""
        self.must_list = self._may_be_behind(is_news, transfer_s)

    def failed(self) -> None:
        """A read failed; versions may have come meanwhile."""
        self.must_list = self.must_list or self.newest_only

    def compacted(self) -> None:
        """The platform no longer keeps what came since."""
        self.must_list = True

    def _may_be_behind(self, is_news: bool, transfer_s: float) -> bool:
        return self.newest_only and is_news and transfer_s > SLOW_TRANSFER_S
