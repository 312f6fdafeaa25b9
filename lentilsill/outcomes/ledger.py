"""Execution records at the destination node of calls."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .model import Answer, CallResult, Outcome, Refused

__all__ = ["Begin", "CallLedger", "CallState"]

MAX_RECORDS = 100_000
MAX_KEPT_BYTES = 16 * 1024 * 1024
# Settled entries that the expiry queue may hold before it is rebuilt.
EXPIRY_QUEUE_SLACK = 1024
# A floor, up to which unknown call ids of an entry instance are refused, is kept longer
# than records, because delayed calls of the instance may arrive.
FLOOR_RETENTION_FACTOR = 10


class Begin(Enum):
    """Whether a call that arrived may run."""

    RUN = "run"
    DUPLICATE = "duplicate"
    FENCED = "fenced"
    FULL = "full"


class CallState(Enum):
    """State of a call without a result."""

    RUNNING = "running"
    NEVER_SEEN = "never_seen"
    FORGOTTEN = "forgotten"


class _Marker(Enum):
    RUNNING = 0
    FENCED = 1


@dataclass(slots=True)
class _InstanceCalls:
    """Calls of one entry instance; ids up to `floor` without a record must not run."""

    records: dict[int, _Marker | CallResult] = field(default_factory=dict)
    floor: int = -1
    settled: int = -1
    last_used_at: float = 0.0


class CallLedger:
    """Lets each (instance, call id) run at most once and stores results.

    Call ids of an instance increase in the order of sending. Times are in seconds
    of one monotonic clock. A full table refuses new calls. A query for an unknown id
    then raises the floor to fence it, which can refuse calls that have not arrived
    yet but never runs one twice.
    """

    def __init__(
        self,
        retention_s: float,
        max_records: int = MAX_RECORDS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self.retention_s = retention_s
        self.max_records = max_records
        self.max_kept_bytes = max_kept_bytes
        self._instances: dict[str, _InstanceCalls] = {}
        self._expiry: deque[tuple[float, str, int]] = deque()
        self._size = 0
        self._kept_bytes = 0

    def __len__(self) -> int:
        return self._size

    def begin(self, instance: str, call_id: int, settled: int, now: float) -> Begin:
        """Return whether an arrived call may run, and record that it is running.

        The entry node no longer needs the records of calls with ids up to `settled`.
        """
        calls = self._calls_of(instance, now)
        if settled > calls.settled:
            self._drop_settled(calls, settled)
        record = calls.records.get(call_id)
        if record is not None:
            return Begin.FENCED if record is _Marker.FENCED else Begin.DUPLICATE
        if call_id <= calls.floor:
            return Begin.FENCED
        if self._size >= self.max_records:
            self.expire(now)
            if self._size >= self.max_records:
                return Begin.FULL
        calls.records[call_id] = _Marker.RUNNING
        self._size += 1
        return Begin.RUN

    def finish(
        self, instance: str, call_id: int, result: CallResult, now: float
    ) -> None:
        """Store the result of a running call; a large answer is recorded as lost."""
        calls = self._instances.get(instance)
        if calls is None or calls.records.get(call_id) is not _Marker.RUNNING:
            return
        if isinstance(result, Answer):
            if self._kept_bytes + len(result.body) > self.max_kept_bytes:
                result = Refused(Outcome.RUN_ANSWER_LOST, "answer was not kept")
            else:
                self._kept_bytes += len(result.body)
        calls.records[call_id] = result
        calls.last_used_at = now
        self._expiry.append((now + self.retention_s, instance, call_id))
        if len(self._expiry) > 2 * self._size + EXPIRY_QUEUE_SLACK:
            self._prune_expiry_queue()

    def query(self, instance: str, call_id: int, now: float) -> CallState | CallResult:
        """Return the result or the state of a call; an unknown id is fenced first."""
        calls = self._calls_of(instance, now)
        record = calls.records.get(call_id)
        if isinstance(record, Answer | Refused):
            return record
        if record is _Marker.RUNNING:
            return CallState.RUNNING
        if record is _Marker.FENCED:
            return CallState.NEVER_SEEN
        if call_id <= calls.floor:
            return CallState.FORGOTTEN
        if self._size >= self.max_records:
            calls.floor = call_id
        else:
            calls.records[call_id] = _Marker.FENCED
            self._size += 1
            self._expiry.append((now + self.retention_s, instance, call_id))
        return CallState.NEVER_SEEN

    def expire(self, now: float) -> None:
        """Drop records older than the retention; their ids are still refused."""
        while self._expiry and self._expiry[0][0] <= now:
            _, instance, call_id = self._expiry.popleft()
            calls = self._instances.get(instance)
            if calls is not None and call_id in calls.records:
                calls.floor = max(calls.floor, call_id)
                self._drop(calls, call_id)
        limit = now - self.retention_s * FLOOR_RETENTION_FACTOR
        for instance, calls in list(self._instances.items()):
            if not calls.records and calls.last_used_at < limit:
                del self._instances[instance]

    def _prune_expiry_queue(self) -> None:
        """Remove the entries whose records were dropped because they are settled."""
        self._expiry = deque(
            entry
            for entry in self._expiry
            if (calls := self._instances.get(entry[1])) and entry[2] in calls.records
        )

    def _calls_of(self, instance: str, now: float) -> _InstanceCalls:
        calls = self._instances.get(instance)
        if calls is None:
            calls = self._instances[instance] = _InstanceCalls()
        calls.last_used_at = now
        return calls

    def _drop_settled(self, calls: _InstanceCalls, settled: int) -> None:
        calls.settled = settled
        calls.floor = max(calls.floor, settled)
        records = calls.records
        while records and (call_id := next(iter(records))) <= settled:
            self._drop(calls, call_id)

    def _drop(self, calls: _InstanceCalls, call_id: int) -> None:
        record = calls.records.pop(call_id)
        self._size -= 1
        if isinstance(record, Answer):
            self._kept_bytes -= len(record.body)
