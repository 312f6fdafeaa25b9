"""Losses of upstreams by request fingerprint."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .evidence import OUTSIDE_CAUSE_S, Loss, LossRow, Run, has_proof, hold_until_s

__all__ = ["ClearedRow", "CrashRow", "CrashTracker"]

LIFETIME_S = 600.0
"""Time that a suspect or quarantined request stays in the table."""
MAX_FINGERPRINT_CHARS = 256
MAX_RUNS_PER_LOSS = 256
MAX_RUNS = 16_384
"""Runs of all losses that are kept, about 150 bytes each."""
QUARANTINE_CRASHES = 2
"""Count that stands for a quarantined request in a `CrashRow`; others have 1."""
CrashRow = tuple[str, int, int]
"""Fingerprint, count, remaining lifetime in ms."""
ClearedRow = tuple[str, int]
"""Fingerprint, age in ms of a run that ended without a crash."""


@dataclass(slots=True)
class _Entry:
    """A suspect; after it is cleared, a mark against older reports."""

    expires_s: float
    loss_ids: set[str] = field(default_factory=set)
    is_suspect: bool = True
    cleared_at_s: float = float("-inf")
    is_quarantined: bool = False


class CrashTracker:
    """Tracks suspects: requests that were in flight on an upstream that died.

    A suspect then runs alone on an upstream, as a trial. Either that upstream dies
    too, which can prove that the suspect causes it (`has_proof`), and it is
    quarantined; or the request finishes and is cleared. A harmless request is never
    blamed for upstreams on which it was already running when it became a suspect, so
    that upstreams that are lost together, as with a rack, prove nothing.

    Reports of different nodes are united by the ids of the losses, so their order and
    their repetition don't matter. Times are in seconds of one monotonic clock. When
    the table is full, the oldest request that is not quarantined is evicted.

    Examples
    --------
    >>> tracker = CrashTracker()
    >>> _ = tracker.record_loss("w1", (Run("a"), Run("b")), now_s=0.0)
    >>> tracker.can_start("a", ("c",), 1.0), tracker.can_start("c", ("a",), 1.0)
    (False, False)
    >>> tracker.can_start("a", (), 1.0), tracker.can_start("c", ("d",), 1.0)
    (True, True)
    >>> _ = tracker.record_loss("w2", (Run("a", is_trial=True),), now_s=2.0)
    >>> tracker.is_quarantined("a", 3.0), tracker.is_quarantined("b", 3.0)
    (True, False)
    """

    def __init__(self, lifetime_s: float = LIFETIME_S, max_entries: int = 4096) -> None:
        self.lifetime_s = lifetime_s
        self.max_entries = max_entries
        self._entries: dict[str, _Entry] = {}
        # In the order in which they became known.
        self._losses: dict[str, Loss] = {}
        self._run_count = 0
        # Requests of which a trial was lost.
        self._tried: set[str] = set()

    def __len__(self) -> int:
        return sum(entry.is_suspect for entry in self._entries.values())

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request is proved to cause crashes."""
        entry = self._find(fingerprint, now_s)
        return entry is not None and entry.is_quarantined

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request was in flight at a crash and is not cleared."""
        entry = self._find(fingerprint, now_s)
        return entry is not None and entry.is_suspect

    def hold_s(self, fingerprint: str, now_s: float) -> float:
        """Return for how long a suspect must not run: its last trial was lost.

        Another trial at once would be lost to the same cause, and prove nothing.
        """
        entry = self._find(fingerprint, now_s)
        if entry is None or not entry.is_suspect:
            return 0.0
        until_s = hold_until_s(fingerprint, self._losses_of(entry), entry.cleared_at_s)
        return max(0.0, until_s - now_s)

    def suspect(self, fingerprint: str, now_s: float) -> None:
        """Make the request a suspect, as its entry node reports."""
        entry = self._find(fingerprint, now_s)
        if entry is None or not entry.is_suspect:
            self._add(fingerprint, now_s + self.lifetime_s).is_suspect = True

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

    def record_loss(
        self, loss_id: str, runs: Iterable[Run], now_s: float
    ) -> tuple[LossRow, ...]:
        """Record an upstream that died, and return the rows to send to peers."""
        unique = {run.fingerprint: run for run in runs}
        known = tuple(unique.values())[:MAX_RUNS_PER_LOSS]
        self._add_loss(Loss(loss_id, now_s, known), now_s, now_s + self.lifetime_s)
        return self._loss_rows([loss_id], now_s)

    def finished(self, fingerprint: str, now_s: float) -> bool:
        """Clear a suspect that finished, and return whether it was one.

        A quarantine stays until it expires.
        """
        return bool(self._entries) and self._clear(fingerprint, now_s, now_s)

    def loss_count(self, fingerprint: str, now_s: float) -> int:
        """Return in how many losses the request was in flight."""
        entry = self._find(fingerprint, now_s)
        return len(entry.loss_ids) if entry else 0

    def merge(
        self,
        rows: Iterable[CrashRow],
        losses: Iterable[LossRow],
        cleared: Iterable[ClearedRow],
        now_s: float,
    ) -> tuple[tuple[LossRow, ...], tuple[ClearedRow, ...]]:
        """Merge the report of a peer; return the losses and clearings new here.

        A row in `rows` whose request is in no loss comes from a node that knows
        no losses. It makes the request a suspect, since its count proves nothing.
        """
        new_ids = []
        for loss_id, age_ms, runs in losses:
            at_s = now_s - max(0, age_ms) / 1000
            expires_s = at_s + self.lifetime_s
            if expires_s <= now_s or loss_id in self._losses:
                continue
            known = tuple(
                Run(name, is_trial)
                for name, is_trial in runs[:MAX_RUNS_PER_LOSS]
                if len(name) <= MAX_FINGERPRINT_CHARS
            )
            self._add_loss(Loss(loss_id, at_s, known), now_s, expires_s)
            new_ids.append(loss_id)
        new_cleared = tuple(
            (name, age_ms)
            for name, age_ms in cleared
            if self._clear(name, now_s, now_s - max(0, age_ms) / 1000)
        )
        for name, _, remaining_ms in rows:
            if name not in self._entries and len(name) <= MAX_FINGERPRINT_CHARS:
                remaining_s = min(remaining_ms / 1000, self.lifetime_s)
                if remaining_s > 0:
                    self._add(name, now_s + remaining_s)
        return self._loss_rows(new_ids, now_s), new_cleared

    def report(self, now_s: float) -> tuple[CrashRow, ...]:
        """Return the suspects and quarantined requests, the latter first."""
        rows = [
            (
                name,
                QUARANTINE_CRASHES if entry.is_quarantined else 1,
                int((entry.expires_s - now_s) * 1000),
            )
            for name, entry in sorted(self._entries.items())
            if entry.is_suspect and entry.expires_s > now_s
        ]
        return tuple(sorted(rows, key=lambda row: -row[1]))

    def quarantined(self, now_s: float) -> tuple[CrashRow, ...]:
        """Return the rows of quarantined requests."""
        return tuple(row for row in self.report(now_s) if row[1] >= QUARANTINE_CRASHES)

    def losses_of(self, rows: Iterable[CrashRow], now_s: float) -> tuple[LossRow, ...]:
        """Return the losses that the verdicts on these requests rest on."""
        found = {
            loss.loss_id: loss
            for name, _, _ in rows
            for loss in self._losses_of(self._entries[name])
        }
        trials_s = [
            loss.at_s for loss in found.values() if any(r.is_trial for r in loss.runs)
        ]
        loss_ids = [
            loss.loss_id
            for loss in self._losses.values()
            if loss.loss_id in found
            or any(abs(loss.at_s - at_s) <= OUTSIDE_CAUSE_S for at_s in trials_s)
        ]
        return self._loss_rows(loss_ids, now_s)

    def _add_loss(self, loss: Loss, now_s: float, expires_s: float) -> None:
        if loss.loss_id in self._losses:
            return
        self._store_loss(loss)
        for run in loss.runs:
            name = run.fingerprint
            entry = self._find(name, now_s)
            if entry is not None and loss.at_s <= entry.cleared_at_s:
                continue
            entry = entry or self._add(name, expires_s)
            entry.is_suspect = True
            entry.loss_ids.add(loss.loss_id)
            entry.expires_s = max(entry.expires_s, expires_s)
            if run.is_trial:
                self._tried.add(name)
        # A loss can also excuse the trials of requests that were not in flight.
        for name in list(self._tried):
            entry = self._find(name, now_s)
            if entry is None or not entry.is_suspect:
                self._tried.discard(name)
            else:
                entry.is_quarantined = has_proof(
                    name, self._losses.values(), entry.cleared_at_s
                )

    def _store_loss(self, loss: Loss) -> None:
        self._losses[loss.loss_id] = loss
        self._run_count += 1 + len(loss.runs)
        while self._run_count > MAX_RUNS:
            without_trial = (
                old.loss_id
                for old in self._losses.values()
                if not any(run.is_trial for run in old.runs)
            )
            oldest = next(iter(self._losses))
            evicted = self._losses.pop(next(without_trial, oldest))
            self._run_count -= 1 + len(evicted.runs)

    def _losses_of(self, entry: _Entry) -> list[Loss]:
        return [self._losses[i] for i in entry.loss_ids if i in self._losses]

    def _clear(self, fingerprint: str, now_s: float, at_s: float) -> bool:
        entry = self._find(fingerprint, now_s)
        if entry is None or not entry.is_suspect or entry.is_quarantined:
            return False
        entry.cleared_at_s = max(entry.cleared_at_s, at_s)
        entry.loss_ids = {
            loss.loss_id
            for loss in self._losses_of(entry)
            if loss.at_s > entry.cleared_at_s
        }
        entry.is_suspect = bool(entry.loss_ids)
        return not entry.is_suspect

    def _loss_rows(self, loss_ids: list[str], now_s: float) -> tuple[LossRow, ...]:
        return tuple(
            (
                loss.loss_id,
                int((now_s - loss.at_s) * 1000),
                tuple((run.fingerprint, run.is_trial) for run in loss.runs),
            )
            for loss in (self._losses[i] for i in loss_ids if i in self._losses)
        )

    def _find(self, fingerprint: str, now_s: float) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_s <= now_s:
            del self._entries[fingerprint]
            return None
        return entry

    def _add(self, name: str, expires_s: float) -> _Entry:
        entry = self._entries.get(name)
        if entry is not None:
            entry.expires_s = max(entry.expires_s, expires_s)
            return entry
        if len(self._entries) >= self.max_entries:
            oldest = next(iter(self._entries))
            others = (
                old for old, known in self._entries.items() if not known.is_quarantined
            )
            del self._entries[next(others, oldest)]
        entry = self._entries[name] = _Entry(expires_s)
        return entry
