"""Record of executions at the destination of calls."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .model import Answer, CallResult, Outcome, Refused

__all__ = ["Begin", "CallLedger", "CallState"]

MAX_RECORDS = 100_000
MAX_KEPT_BYTES = 16 * 1024 * 1024
# Settled entries that may stay in the expiry queue before it is rebuilt.
EXPIRY_SLACK = 1024
# Floors are kept longer than records: a late call of the instance may arrive.
FLOOR_RETENTION_FACTOR = 10


class Begin(Enum):
    """Whether a call that has arrived may run."""

    RUN = "run"
    DUPLICATE = "duplicate"
    FENCED = "fenced"
    FULL = "full"


class CallState(Enum):
    """State of a call without a result."""

    RUNNING = "running"
    NEVER_SEEN = "never_seen"
    FORGOTTEN = "forgotten"


class _Mark(Enum):
    RUNNING = 0
    FENCED = 1


@dataclass(slots=True)
class _Instance:
    """Calls of one entry instance; ids up to `floor` without a record may not run."""

    records: dict[int, _Mark | CallResult] = field(default_factory=dict)
    floor: int = -1
    settled: int = -1
    used_at: float = 0.0


class CallLedger:
    """Lets each (instance, call id) run at most once and keeps results.

    Call ids of an instance increase in the order of sending. Times are in
    seconds of one clock that never steps. When the table is full, new calls
    are refused; an unknown id is then fenced by raising the floor, which can
    refuse calls that are on their way but never repeats one.
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
        self._instances: dict[str, _Instance] = {}
        self._expiry: deque[tuple[float, str, int]] = deque()
        self._size = 0
        self._kept_bytes = 0

    def __len__(self) -> int:
        return self._size

    def begin(self, instance: str, call_id: int, settled: int, now: float) -> Begin:
        """Take an arrived call.

        `settled` is an id up to which the entry node needs no record any more.
        """
        own = self._instance(instance, now)
        if settled > own.settled:
            self._settle(own, settled)
        record = own.records.get(call_id)
        if record is not None:
            return Begin.FENCED if record is _Mark.FENCED else Begin.DUPLICATE
        if call_id <= own.floor:
            return Begin.FENCED
        if self._size >= self.max_records:
            self.expire(now)
            if self._size >= self.max_records:
                return Begin.FULL
        own.records[call_id] = _Mark.RUNNING
        self._size += 1
        return Begin.RUN

    def finish(
        self, instance: str, call_id: int, result: CallResult, now: float
    ) -> None:
        """Keep the result of a running call; a large answer is not kept."""
        own = self._instances.get(instance)
        if own is None or own.records.get(call_id) is not _Mark.RUNNING:
            return
        if isinstance(result, Answer):
            if self._kept_bytes + len(result.body) > self.max_kept_bytes:
                result = Refused(Outcome.RUN_ANSWER_LOST, "answer was not kept")
            else:
                self._kept_bytes += len(result.body)
        own.records[call_id] = result
        own.used_at = now
        self._expiry.append((now + self.retention_s, instance, call_id))
        if len(self._expiry) > 2 * self._size + EXPIRY_SLACK:
            self._drop_settled_from_expiry()

    def query(self, instance: str, call_id: int, now: float) -> CallState | CallResult:
        """Give what became of a call; an unknown id is fenced first."""
        own = self._instance(instance, now)
        record = own.records.get(call_id)
        if isinstance(record, Answer | Refused):
            return record
        if record is _Mark.RUNNING:
            return CallState.RUNNING
        if record is _Mark.FENCED:
            return CallState.NEVER_SEEN
        if call_id <= own.floor:
            return CallState.FORGOTTEN
        if self._size >= self.max_records:
            own.floor = call_id
        else:
            own.records[call_id] = _Mark.FENCED
            self._size += 1
            self._expiry.append((now + self.retention_s, instance, call_id))
        return CallState.NEVER_SEEN

    def expire(self, now: float) -> None:
        """Drop records older than the retention; their ids stay refused."""
        while self._expiry and self._expiry[0][0] <= now:
            _, instance, call_id = self._expiry.popleft()
            own = self._instances.get(instance)
            if own is not None and call_id in own.records:
                own.floor = max(own.floor, call_id)
                self._drop(own, call_id)
        limit = now - self.retention_s * FLOOR_RETENTION_FACTOR
        for instance, own in list(self._instances.items()):
            if not own.records and own.used_at < limit:
                del self._instances[instance]

    def _drop_settled_from_expiry(self) -> None:
        """Forget when settled records, which are gone already, would expire."""
        self._expiry = deque(
            entry
            for entry in self._expiry
            if (own := self._instances.get(entry[1])) and entry[2] in own.records
        )

    def _instance(self, instance: str, now: float) -> _Instance:
        own = self._instances.get(instance)
        if own is None:
            own = self._instances[instance] = _Instance()
        own.used_at = now
        return own

    def _settle(self, own: _Instance, settled: int) -> None:
        own.settled = settled
        own.floor = max(own.floor, settled)
        records = own.records
        while records and (call_id := next(iter(records))) <= settled:
            self._drop(own, call_id)

    def _drop(self, own: _Instance, call_id: int) -> None:
        record = own.records.pop(call_id)
        self._size -= 1
        if isinstance(record, Answer):
            self._kept_bytes -= len(record.body)
