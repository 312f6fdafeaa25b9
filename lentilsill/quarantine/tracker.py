"""Crashes counted against request fingerprints."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["CrashRow", "CrashTracker"]

LIFETIME_S = 600.0
"""How long a suspect or a quarantined request is remembered."""
QUARANTINE_CRASHES = 2
MAX_FINGERPRINT_CHARS = 256
# fingerprint, crashes, remaining lifetime in ms
CrashRow = tuple[str, int, int]


@dataclass(slots=True)
class _Suspect:
    crashes: int
    expires_s: float


class CrashTracker:
    """Suspects: requests that were in flight on an upstream that died.

    A crash with several requests in flight makes each a suspect with one crash.
    A suspect then runs on an upstream with nothing else in flight, so that a
    further crash is its own and it is quarantined, or it finishes and is
    cleared. An innocent request is therefore never counted twice, also when
    another request, not yet a suspect, crashes upstreams at the same time.
    Times are in seconds of a clock that never steps. When the table is full,
    the entry with the fewest crashes that expires first makes room.

    Examples
    --------
    >>> tracker = CrashTracker()
    >>> _ = tracker.upstream_died(("a", "b"), now_s=0.0)
    >>> tracker.can_start("a", ("c",), 1.0), tracker.can_start("c", ("a",), 1.0)
    (False, False)
    >>> tracker.can_start("a", (), 1.0), tracker.can_start("c", ("d",), 1.0)
    (True, True)
    >>> _ = tracker.upstream_died(("a",), now_s=2.0)
    >>> tracker.is_quarantined("a", 3.0), tracker.is_quarantined("b", 3.0)
    (True, False)
    """

    def __init__(self, lifetime_s: float = LIFETIME_S, max_entries: int = 4096) -> None:
        self.lifetime_s = lifetime_s
        self.max_entries = max_entries
        self._suspects: dict[str, _Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Whether the request crashed upstreams often enough to be refused."""
        entry = self._find(fingerprint, now_s)
        return entry is not None and entry.crashes >= QUARANTINE_CRASHES

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Whether the request was in flight at an unexplained crash."""
        return self._find(fingerprint, now_s) is not None

    def suspect(self, fingerprint: str, now_s: float) -> None:
        """Make the request a suspect with one crash, if it is not known as one."""
        if self._find(fingerprint, now_s) is None:
            self._set(fingerprint, 1, now_s + self.lifetime_s, now_s)

    def can_start(
        self, fingerprint: str, in_flight: Iterable[str], now_s: float
    ) -> bool:
        """Whether the request may run beside `in_flight`: a suspect runs alone."""
        others = tuple(in_flight)
        if self.is_suspect(fingerprint, now_s):
            return not others
        return not any(self.is_suspect(other, now_s) for other in others)

    def upstream_died(
        self, in_flight: Iterable[str], now_s: float
    ) -> tuple[CrashRow, ...]:
        """Count a crash; give the rows that peers must learn.

        A crash that several requests share raises none of them above one.
        """
        involved = sorted(set(in_flight))
        for name in involved:
            entry = self._find(name, now_s)
            count = entry.crashes if entry else 0
            count = count + 1 if len(involved) == 1 else max(count, 1)
            self._set(name, count, now_s + self.lifetime_s, now_s)
        return self._rows(involved, now_s)

    def finished(self, fingerprint: str, now_s: float) -> None:
        """Clear a suspect that ran to its end; a quarantine stays until expiry."""
        if not self.is_quarantined(fingerprint, now_s):
            self._suspects.pop(fingerprint, None)

    def merge(self, rows: Iterable[CrashRow], now_s: float) -> tuple[CrashRow, ...]:
        """Take in a peer's report; give the rows that were new here.

        The higher count and the later expiry win. A later expiry alone is no
        news: rows lose a little lifetime on each way, so it would travel on.
        """
        news = []
        for name, crashes, remaining_ms in rows:
            left_s = min(remaining_ms / 1000, self.lifetime_s)
            if left_s <= 0 or len(name) > MAX_FINGERPRINT_CHARS:
                continue
            entry = self._find(name, now_s)
            expires_s = now_s + left_s
            if entry is None or crashes > entry.crashes:
                news.append(name)
            if entry is not None:
                crashes = max(crashes, entry.crashes)
                expires_s = max(expires_s, entry.expires_s)
            self._set(name, max(crashes, 0), expires_s, now_s)
        return self._rows(news, now_s)

    def report(self, now_s: float) -> tuple[CrashRow, ...]:
        """Give every live row, those with the most crashes first."""
        rows = self._rows(sorted(self._suspects), now_s)
        return tuple(sorted(rows, key=lambda row: -row[1]))

    def quarantined(self, now_s: float) -> tuple[CrashRow, ...]:
        """Give the rows of quarantined requests."""
        return tuple(row for row in self.report(now_s) if row[1] >= QUARANTINE_CRASHES)

    def _rows(self, names: list[str], now_s: float) -> tuple[CrashRow, ...]:
        found = ((name, self._find(name, now_s)) for name in names)
        return tuple(
            (name, entry.crashes, int((entry.expires_s - now_s) * 1000))
            for name, entry in found
            if entry is not None
        )

    def _find(self, fingerprint: str, now_s: float) -> _Suspect | None:
        entry = self._suspects.get(fingerprint)
        if entry is not None and entry.expires_s <= now_s:
            del self._suspects[fingerprint]
            return None
        return entry

    def _set(self, name: str, crashes: int, expires_s: float, now_s: float) -> None:
        if name not in self._suspects and len(self._suspects) >= self.max_entries:
            for old in [n for n in self._suspects if self._find(n, now_s) is None]:
                self._suspects.pop(old, None)
        if name not in self._suspects and len(self._suspects) >= self.max_entries:
            weakest = min(
                self._suspects.items(), key=lambda kv: (kv[1].crashes, kv[1].expires_s)
            )
            del self._suspects[weakest[0]]
        self._suspects[name] = _Suspect(crashes, expires_s)
