"""Claims that a node has stored lately, to store again those that were lost."""

from collections.abc import Iterator
from typing import Any

__all__ = ["RecentClaims"]

# A store that loses writes comes back from a copy that is some seconds old.
MAX_AGE_S = 60.0
MAX_CLAIMS = 10_000


class RecentClaims:
    """Values of claims by object name, as last stored; times are in seconds.

    Examples
    --------
    >>> claims = RecentClaims()
    >>> claims.add("k1", {"attempt": "1"}, now=0.0)
    >>> claims.add("k2", {"attempt": "2"}, now=50.0)
    >>> list(claims.since(now=70.0))
    [('k2', {'attempt': '2'})]
    """

    def __init__(self) -> None:
        # Oldest first, as a claim moves to the end when it is stored again.
        self._claims: dict[str, tuple[float, dict[str, Any]]] = {}

    def add(self, name: str, value: dict[str, Any], now: float) -> None:
        """Record that a claim has been stored."""
        self._claims.pop(name, None)
        self._claims[name] = (now, value)
        self._drop_old(now)

    def remove(self, name: str) -> None:
        """Record that a claim has been released."""
        self._claims.pop(name, None)

    def since(self, now: float) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield the name and value of each claim stored within `MAX_AGE_S`."""
        self._drop_old(now)
        for name, (_, value) in list(self._claims.items()):
            yield name, value

    def _drop_old(self, now: float) -> None:
        while self._claims:
            name = next(iter(self._claims))
            is_old = now - self._claims[name][0] > MAX_AGE_S
            if not is_old and len(self._claims) <= MAX_CLAIMS:
                return
            del self._claims[name]
