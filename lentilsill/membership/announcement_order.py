"""Decides which announcements count as those of the upstream on an address.

The start and the sequence of an announcement order those of one upstream, but both
come from its sender: a clock that was ahead, or another writer, can name a start that
no later process reaches. Such an order is therefore only a presumption. It ends when
the upstream itself answers a health check, or when the process that it rules out has
gone on announcing itself for the announce timeout.
"""

from dataclasses import dataclass

from .announcement import Announcement, is_superseded
from .announcement_verdicts import (
    Accepted,
    CheckedUpstream,
    Disputed,
    HostUpstream,
    Objection,
    Outdated,
    Refused,
    Verdict,
)
from .records import UpstreamRecord, UpstreamState

__all__ = ["AnnouncementOrder"]

# Addresses, deletions and leaving upstreams that are remembered.
MAX_REMEMBERED = 64
# Processes whose announcements are refused at the moment.
MAX_REFUSED_PROCESSES = 16
# Announcements of a live process are closer together than this share of the announce
# timeout; longer gaps separate late announcements from each other.
MAX_GAP_SHARE = 0.5

# Id and start of a process.
_Process = tuple[str, int | None]

# A process that has said that it leaves does not come back, however long it goes on
# announcing itself; only its own answer to a health check shows that it has not left.
_FINAL = frozenset({Objection.DELETED, Objection.LEFT})


@dataclass(slots=True)
class _Deletion:
    """Start of a deleted process, None while it is unknown, and time of deletion."""

    started_ms: int | None
    deleted_ms: int


@dataclass(slots=True)
class _Series:
    """Refused announcements of one process, whose sequence has increased each time.

    Times are in seconds of the monotonic clock.
    """

    began_at: float
    last_at: float
    sequence: int


class AnnouncementOrder:
    """Judges announcements and deletions by what was announced before.

    How long a wrong presumption lasts: with health checks, until the next announcement
    after which one is answered; without an answer, for the announce timeout plus two
    announce intervals.

    Examples
    --------
    >>> record = UpstreamRecord("w", "a", "127.0.0.1:1", 1, (), UpstreamState.READY)
    >>> order, host = AnnouncementOrder(), HostUpstream(service="a")
    >>> order.judge(Announcement(record, 5000, 2), host, None, 0.0)
    Accepted(overruled=None)
    >>> order.judge(Announcement(record, 4000, 9), host, record, 0.1).objection
    <Objection.EARLIER_START: 'earlier_start'>
    """

    def __init__(self) -> None:
        self._newest: dict[str, Announcement] = {}
        # By id. A delayed announcement must not restore a deleted upstream.
        self._deleted: dict[str, _Deletion] = {}
        # Start of the leaving process by id, 0 while it is unknown.
        self._leaving: dict[str, int] = {}
        self._series: dict[_Process, _Series] = {}
        # When a health check showed that another process has the address.
        self._refuted_at: dict[_Process, float] = {}
        # When a health check showed that an upstream stays that was said to leave.
        self._stayed_at: dict[str, float] = {}
        self._is_ready_doubted = False
        # Number of times that an upstream was found to leave or to be deleted. A
        # health check that was sent before the last of them says nothing about it.
        self.departure_count = 0

    @property
    def has_announcements(self) -> bool:
        """Whether any announcement or deletion has counted so far."""
        return bool(self._newest or self._deleted)

    def doubt_ready(self) -> None:
        """Doubt that the upstream is ready, after a failed health check.

        An earlier process of the node may have acknowledged that the upstream leaves,
        and an announcement may be older than that. There is no effect when
        `has_announcements` is true.
        """
        self._is_ready_doubted = not self.has_announcements

    def judge(
        self,
        new: Announcement,
        host: HostUpstream,
        in_use: UpstreamRecord | None,
        now: float,
        check: CheckedUpstream | None = None,
    ) -> Verdict:
        """Return whether an announcement counts, and remember it if it does.

        Parameters
        ----------
        new : Announcement
        host : HostUpstream
        in_use : UpstreamRecord or None
            The upstream that the node has on the address of the announcement.
        now : float
            Time in seconds of the monotonic clock.
        check : CheckedUpstream or None
            Answer to a health check that was sent after the announcement arrived.
        """
        mismatch = host.mismatch(new.record)
        if mismatch is not None:
            return Refused(mismatch)
        known = self._newest.get(new.record.address)
        objection = self._objection(new, known, host, in_use)
        is_leaving = new.record.state is UpstreamState.LEAVING
        if objection is None and is_leaving:
            objection = self._departure_objection(new.record.upstream, host, now)
        if objection is None:
            self._accept(new)
            return Accepted()
        process = (new.record.upstream, new.started_ms)
        if check is not None:
            if _confirms(check, new, objection):
                self._accept(new, objection)
                if objection in _FINAL:
                    self._record_stay(new.record.upstream, now)
                return Accepted(objection)
            self._series.pop(process, None)
            if check.upstream == new.record.upstream:
                return Refused(objection, known)
            self._refute(process, now)
            return Refused(Objection.OTHER_UPSTREAM, known)
        has_advanced = self._advance(process, new.sequence, host, now)
        if objection not in _FINAL and self._has_lasted(process, host):
            self._accept(new, objection)
            return Accepted(objection)
        is_alive = has_advanced and in_use is not None and in_use.upstream == process[0]
        if _is_without_effect(new, in_use):
            self._remember_leaving(new)
            return Outdated(objection, known, is_alive)
        if objection is Objection.DOUBTED and not host.has_health_checks:
            # A later announcement cannot be as old as the acknowledgement.
            self._is_ready_doubted = False
            self._newest[new.record.address] = new
        if not host.has_health_checks:
            return Refused(objection, known, is_alive)
        refuted_at = self._refuted_at.get(process)
        if refuted_at is not None and now - refuted_at < host.announce_timeout_s:
            return Refused(Objection.OTHER_UPSTREAM, known)
        return Disputed(objection, known, is_alive)

    def judge_deletion(
        self,
        upstream: str,
        started_ms: int | None,
        host: HostUpstream,
        in_use: UpstreamRecord | None,
        now: float,
        wall_ms: int,
        check: CheckedUpstream | None = None,
    ) -> Verdict:
        """Return whether the deletion of an upstream counts, and remember it.

        A node that has just restarted may receive the deletion of an upstream that
        it doesn't know, and remembers that as well. `started_ms` is None if the
        deletion names no start, `wall_ms` is the time in ms since the epoch, and the
        other parameters are those of `judge`.
        """
        known = None
        if in_use is not None and in_use.upstream == upstream:
            known = self._newest.get(in_use.address)
        known_ms = known.started_ms if known is not None else None
        objection = self._departure_objection(upstream, host, now)
        if started_ms is not None and known_ms is not None and started_ms < known_ms:
            objection = Objection.EARLIER_START
        if objection is not None:
            if check is None and host.has_health_checks:
                return Disputed(objection, known)
            if check is None or check != CheckedUpstream(upstream, False):
                return Refused(objection, known)
        deleted_ms = known_ms if started_ms is None else started_ms
        self.departure_count += 1
        self._deleted.pop(upstream, None)
        self._deleted[upstream] = _Deletion(deleted_ms, wall_ms)
        _drop_oldest(self._deleted, MAX_REMEMBERED)
        return Accepted()

    def forget_stay(self, upstream: str) -> None:
        """Believe again that an upstream leaves, as no health check is answered."""
        self._stayed_at.pop(upstream, None)

    def mark_leaving(self, upstream: str, started_ms: int) -> None:
        """Remember that a process said in an answer that it leaves.

        `started_ms` is its start, 0 if unknown.
        """
        self.departure_count += 1
        self._leaving.pop(upstream, None)
        self._leaving[upstream] = started_ms
        _drop_oldest(self._leaving, MAX_REMEMBERED)

    def _objection(
        self,
        new: Announcement,
        known: Announcement | None,
        host: HostUpstream,
        in_use: UpstreamRecord | None,
    ) -> Objection | None:
        rec = new.record
        is_leaving = rec.state is UpstreamState.LEAVING
        if self._is_deleted(new):
            return Objection.DELETED
        if not is_leaving and self._has_left(new):
            return Objection.LEFT
        if known is not None:
            is_same_process = (
                new.started_ms is not None
                and new.started_ms == known.started_ms
                and rec.upstream == known.record.upstream
            )
            # Leaving is final, so it also counts if it arrives late.
            if is_superseded(new, known) and not (is_same_process and is_leaving):
                if new.started_ms != known.started_ms:
                    return Objection.EARLIER_START
                return Objection.EARLIER_SEQUENCE
        if host.has_health_checks:
            if in_use is not None and in_use.upstream != rec.upstream:
                return Objection.NOT_CONFIRMED
            has_departed = (
                rec.upstream in self._leaving or rec.upstream in self._deleted
            )
            if has_departed and not is_leaving:
                return Objection.RETURNED
        if (
            self._is_ready_doubted
            and rec.state is UpstreamState.READY
            # An announcement without a sequence comes from a health check.
            and new.sequence
        ):
            return Objection.DOUBTED
        return None

    def _accept(self, new: Announcement, overruled: Objection | None = None) -> None:
        upstream, address = new.record.upstream, new.record.address
        if len(self._newest) < MAX_REMEMBERED or address in self._newest:
            self._newest[address] = new
        self._series.pop((upstream, new.started_ms), None)
        self._refuted_at.pop((upstream, new.started_ms), None)
        self._is_ready_doubted = False
        if new.record.state is UpstreamState.LEAVING:
            self._remember_leaving(new)
            return
        self._leaving.pop(upstream, None)
        if overruled is not None:
            self._deleted.pop(upstream, None)

    def _departure_objection(
        self, upstream: str, host: HostUpstream, now: float
    ) -> Objection | None:
        stayed_at = self._stayed_at.get(upstream, float("-inf"))
        if host.has_health_checks and now - stayed_at < host.announce_timeout_s:
            return Objection.STAYING
        return None

    def _record_stay(self, upstream: str, now: float) -> None:
        self._stayed_at.pop(upstream, None)
        self._stayed_at[upstream] = now
        _drop_oldest(self._stayed_at, MAX_REMEMBERED)

    def _remember_leaving(self, new: Announcement) -> None:
        started_ms = new.started_ms
        is_leaving = new.record.state is UpstreamState.LEAVING
        if is_leaving and started_ms is not None:
            known_ms = self._leaving.get(new.record.upstream, 0)
            self.mark_leaving(new.record.upstream, max(known_ms, started_ms))

    def _is_deleted(self, new: Announcement) -> bool:
        deletion = self._deleted.get(new.record.upstream)
        if deletion is None or new.started_ms is None:
            return False
        # A process that started before a deletion of unknown start is the deleted one.
        last_ms = deletion.started_ms
        return new.started_ms <= (deletion.deleted_ms if last_ms is None else last_ms)

    def _has_left(self, new: Announcement) -> bool:
        left_ms = self._leaving.get(new.record.upstream)
        if left_ms is None:
            return False
        return not left_ms or not new.started_ms or new.started_ms <= left_ms

    def _advance(
        self, process: _Process, sequence: int, host: HostUpstream, now: float
    ) -> bool:
        """Add an announcement to its series; return False if it repeats an old one."""
        series = self._series.get(process)
        max_gap_s = MAX_GAP_SHARE * host.announce_timeout_s
        if series is None or now - series.last_at > max_gap_s:
            self._series.pop(process, None)
            self._series[process] = _Series(now, now, sequence)
            _drop_oldest(self._series, MAX_REFUSED_PROCESSES)
            return True
        if sequence <= series.sequence:
            return False
        series.last_at, series.sequence = now, sequence
        return True

    def _has_lasted(self, process: _Process, host: HostUpstream) -> bool:
        series = self._series[process]
        return series.last_at - series.began_at >= host.announce_timeout_s

    def _refute(self, process: _Process, now: float) -> None:
        self._refuted_at.pop(process, None)
        self._refuted_at[process] = now
        _drop_oldest(self._refuted_at, MAX_REFUSED_PROCESSES)


def _confirms(check: CheckedUpstream, new: Announcement, objection: Objection) -> bool:
    """Return whether the upstream's own answer bears an announcement out."""
    if check.upstream != new.record.upstream:
        return False
    # Only one process has the address, and by its start this one is the latest.
    if objection is Objection.NOT_CONFIRMED:
        return True
    return check.is_ready == (new.record.state is UpstreamState.READY)


def _is_without_effect(new: Announcement, in_use: UpstreamRecord | None) -> bool:
    """Return whether calls would go to the same upstreams if `new` counted."""
    is_in_use = in_use is not None and in_use.upstream == new.record.upstream
    if new.record.state is UpstreamState.LEAVING and not is_in_use:
        return True
    return is_in_use and in_use is not None and in_use.state is new.record.state


def _drop_oldest(entries: dict, limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]
