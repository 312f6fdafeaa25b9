"""Counts of upstream crashes by request fingerprint."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["CrashRow", "CrashTracker"]

LIFETIME_S = 600.0
"""Time that a suspect or quarantined request stays in the table."""
QUARANTINE_CRASHES = 2
MAX_FINGERPRINT_CHARS = 256
# Fingerprint, crashes, remaining lifetime in ms.
CrashRow = tuple[str, int, int]


@dataclass(slots=True)
class _Suspect:
    crashes: int
    expires_s: float


class CrashTracker:
    """Tracks suspects: requests that were in flight on an upstream that died.

    A crash with several requests in flight makes each of them a suspect with one
    crash. A suspect then runs alone on an upstream. Either that upstream crashes too,
    which only the suspect can have caused, and it is quarantined, or the request
    finishes and is cleared. A harmless request is therefore never counted twice, even
    when another request that is no suspect yet crashes upstreams at the same time.

    Times are in seconds of one monotonic clock. When the table is full, the entry with
    the fewest crashes is evicted; among these, the one that expires first.

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
        """Return whether the request caused enough crashes to be refused."""
        entry = self._find(fingerprint, now_s)
        return entry is not None and entry.crashes >= QUARANTINE_CRASHES

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request was in flight at a crash and is not cleared."""
        return self._find(fingerprint, now_s) is not None

    def suspect(self, fingerprint: str, now_s: float) -> None:
        """Make the request a suspect with one crash, unless it is one already."""
        if self._find(fingerprint, now_s) is None:
            self._set(fingerprint, 1, now_s + self.lifetime_s, now_s)

    def can_start(
        self, fingerprint: str, in_flight: Iterable[str], now_s: float
    ) -> bool:
        """Return whether the request can run beside `in_flight`.

        A suspect must run alone.
        """
        others = tuple(in_flight)
        if self.is_suspect(fingerprint, now_s):
            return not others
        return not any(self.is_suspect(other, now_s) for other in others)

    def upstream_died(
        self, in_flight: Iterable[str], now_s: float
    ) -> tuple[CrashRow, ...]:
        """Count a crash and return the rows to send to peers.

        A crash with several requests in flight raises no count above one.
        """
        involved = sorted(set(in_flight))
        for name in involved:
            entry = self._find(name, now_s)
            count = entry.crashes if entry else 0
            count = count + 1 if len(involved) == 1 else max(count, 1)
            self._set(name, count, now_s + self.lifetime_s, now_s)
        return self._rows(involved, now_s)

    def finished(self, fingerprint: str, now_s: float) -> None:
        """Clear a suspect that finished; a quarantine stays until it expires."""
        if not self.is_quarantined(fingerprint, now_s):
            self._suspects.pop(fingerprint, None)

    def merge(self, rows: Iterable[CrashRow], now_s: float) -> tuple[CrashRow, ...]:
        """Merge the report of a peer and return the rows that are new here.

        The higher count and the later expiry are kept. A later expiry alone doesn't
        make a row new: rows lose a little lifetime on each hop, so nodes would forward
        them without end.
        """
        new_fingerprints = []
        for name, crashes, remaining_ms in rows:
            remaining_s = min(remaining_ms / 1000, self.lifetime_s)
            if remaining_s <= 0 or len(name) > MAX_FINGERPRINT_CHARS:
                continue
            entry = self._find(name, now_s)
            expires_s = now_s + remaining_s
            if entry is None or crashes > entry.crashes:
                new_fingerprints.append(name)
            if entry is not None:
                crashes = max(crashes, entry.crashes)
                expires_s = max(expires_s, entry.expires_s)
            self._set(name, max(crashes, 0), expires_s, now_s)
        return self._rows(new_fingerprints, now_s)

    def report(self, now_s: float) -> tuple[CrashRow, ...]:
        """Return all rows that have not expired, those with the most crashes first."""
        rows = self._rows(sorted(self._suspects), now_s)
        return tuple(sorted(rows, key=lambda row: -row[1]))

    def quarantined(self, now_s: float) -> tuple[CrashRow, ...]:
        """Return the rows of quarantined requests."""
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
            evicted = min(
                self._suspects.items(), key=lambda kv: (kv[1].crashes, kv[1].expires_s)
            )
            del self._suspects[evicted[0]]
        self._suspects[name] = _Suspect(crashes, expires_s)
