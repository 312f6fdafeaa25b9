"""Records of request keys at a replica.

Safety argument: an attempt runs only after a majority of the key's named
instances granted it, and its entry node decides once for each attempt.

1. A replica holds at most one attempt per key. It drops a held attempt only on
   the attempt's `Release`, which its entry node sends only when the attempt has
   not run and never will, or at the key's expiry, after which it grants no
   attempt of the key.
2. If two attempts ran, both had a majority. Majorities of the named instances
   intersect, so one replica granted the second attempt while it held the first
   one, or after the release of an attempt that ran. Both contradict 1.
3. A restarted node is another instance, which the key does not name, so it refuses.
   Records lost by a restart are therefore never counted as "no claim".
4. An attempt that has run keeps its majority until the expiry. A majority of
   "no claim" replies (a grant, or a refusal with `has_no_claim`) shows that nothing
   had run when the first of them was sent. Replicas that have forgotten the key
   answer without `has_no_claim`. A refusal ``not_run`` is therefore true for the
   whole key at a moment between the start of the attempt and its refusal. Another
   attempt that is started on the same key after that moment may run.

The records of released attempts and the limit on the table size affect availability
only. Without these records, a delayed claim of a released attempt would block the key,
because its holder never runs.
"""

import heapq
import re
from dataclasses import dataclass, field

from result import Err, Ok

from .keys import RequestKey
from .model import Answer, CallResult, Outcome, Refused

__all__ = [
    "Attempt",
    "ClaimAnswer",
    "ClaimGranted",
    "ClaimTable",
    "Finished",
    "HeldBy",
    "NotGranted",
    "limit_result_size",
]

MAX_ISSUED_AHEAD_MS = 60_000
"""A key with an issue time further ahead of the replica's clock is refused."""
MAX_ENTRY_INSTANCES = 32
"""Entry instances remembered per key; more are refused, to limit a record's size."""
MAX_ANSWERS_BYTES = 32 * 1024 * 1024
"""Limit on the size of all stored answers; beyond it an answer is recorded as lost."""

_ATTEMPT = re.compile(r"([0-9a-f]{16}):([0-9]{1,18})")


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt of an entry node; `number` increases within an entry `instance`."""

    instance: str
    number: int

    def __str__(self) -> str:
        return f"{self.instance}:{self.number}"

    @classmethod
    def parse(cls, text: str) -> "Attempt | None":
        """Parse ``<instance>:<number>``, or return None.

        Examples
        --------
        >>> Attempt.parse("00000000000000aa:7").number
        7
        """
        match = _ATTEMPT.fullmatch(text)
        return cls(match[1], int(match[2])) if match else None


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The attempt holds the key at this replica."""


@dataclass(frozen=True, slots=True)
class HeldBy:
    """Another attempt holds the key and has no recorded outcome."""

    holder: str


@dataclass(frozen=True, slots=True)
class Finished:
    """The key has a recorded outcome."""

    result: CallResult


@dataclass(frozen=True, slots=True)
class NotGranted:
    """The claim is refused.

    With `has_no_claim` the replica neither holds nor has forgotten a claim of the key.
    """

    reason: str
    has_no_claim: bool


ClaimAnswer = ClaimGranted | HeldBy | Finished | NotGranted


@dataclass(slots=True)
class _Record:
    fingerprint: str = ""
    holder: str = ""
    result: CallResult | None = None
    # Highest released attempt number by entry instance.
    released: dict[str, int] = field(default_factory=dict)


class ClaimTable:
    """Request keys that one replica holds in memory.

    Parameters
    ----------
    instance : str
        The instance of the replica; only keys that name it are granted.
    retention_ms : int
        A key is granted and stored until this time after its issue.
    max_records, max_answer_bytes : int
        Limits on the table and on one stored answer. Live records are never evicted;
        a full table refuses new keys.
    """

    def __init__(
        self,
        instance: str,
        retention_ms: int,
        max_records: int = 100_000,
        max_answer_bytes: int = 4096,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
    ) -> None:
        self.instance = instance
        self.retention_ms = retention_ms
        self.max_records = max_records
        self.max_answer_bytes = max_answer_bytes
        self.max_answers_bytes = max_answers_bytes
        self.answers_bytes = 0
        self._records: dict[str, _Record] = {}
        self._expiries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self, request_key: str, attempt: str, fingerprint: str, now_ms: int
    ) -> ClaimAnswer:
        """Grant the key to the attempt, or return why it is not granted."""
        self.expire(now_ms)
        parsed_attempt = Attempt.parse(attempt)
        key = self._parse_own_key(request_key)
        if isinstance(key, NotGranted):
            return key
        if parsed_attempt is None:
            return NotGranted("malformed attempt", has_no_claim=False)
        if now_ms >= key.issued_ms + self.retention_ms:
            return NotGranted("key expired", has_no_claim=False)
        rec = self._records.get(request_key)
        if rec is not None and (rec.holder or rec.result is not None):
            return _answer_from_record(rec, attempt, fingerprint)
        if key.issued_ms > now_ms + MAX_ISSUED_AHEAD_MS:
            return NotGranted("key issued in the future", has_no_claim=True)
        if rec is None:
            rec = self._add_record(key, request_key)
            if rec is None:
                return NotGranted("claim table full", has_no_claim=True)
        return _grant(rec, parsed_attempt, fingerprint)

    def store(
        self, request_key: str, attempt: str, result: CallResult, now_ms: int
    ) -> bool:
        """Record the outcome of the attempt that holds the key here.

        Later outcomes are ignored. A ``not_run`` outcome releases the claim.
        """
        if isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN:
            return self.release(request_key, attempt, now_ms)
        self.expire(now_ms)
        rec = self._records.get(request_key)
        if rec is None or rec.result is not None or rec.holder != attempt:
            return False
        result = limit_result_size(result, self.max_answer_bytes)
        if self.answers_bytes + _size_bytes(result) > self.max_answers_bytes:
            result = limit_result_size(result, -1)
        rec.result = result
        self.answers_bytes += _size_bytes(result)
        return True

    def release(self, request_key: str, attempt: str, now_ms: int) -> bool:
        """Drop the claim of an attempt that has not run and never will."""
        parsed_attempt = Attempt.parse(attempt)
        rec = self._get_or_add_record(request_key, now_ms)
        if parsed_attempt is None or rec is None or rec.result is not None:
            return False
        if (
            len(rec.released) < MAX_ENTRY_INSTANCES
            or parsed_attempt.instance in rec.released
        ):
            highest = rec.released.get(parsed_attempt.instance, -1)
            rec.released[parsed_attempt.instance] = max(highest, parsed_attempt.number)
        if rec.holder == attempt:
            rec.holder = ""
            rec.fingerprint = ""
        return True

    def expire(self, now_ms: int) -> None:
        """Drop the keys whose retention has passed."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, request_key = heapq.heappop(self._expiries)
            rec = self._records.pop(request_key)
            if rec.result is not None:
                self.answers_bytes -= _size_bytes(rec.result)

    def _parse_own_key(self, request_key: str) -> RequestKey | NotGranted:
        match RequestKey.parse(request_key):
            case Ok(key) if self.instance in key.instances:
                return key
            case Err(findings):
                reason = "; ".join(str(finding) for finding in findings)
                return NotGranted(reason, has_no_claim=False)
        return NotGranted("key does not name this instance", has_no_claim=False)

    def _get_or_add_record(self, request_key: str, now_ms: int) -> _Record | None:
        """Return the record of a key; add it when the key can still be granted."""
        self.expire(now_ms)
        rec = self._records.get(request_key)
        if rec is not None:
            return rec
        key = self._parse_own_key(request_key)
        if isinstance(key, NotGranted) or now_ms >= key.issued_ms + self.retention_ms:
            return None
        if key.issued_ms > now_ms + MAX_ISSUED_AHEAD_MS:
            return None
        return self._add_record(key, request_key)

    def _add_record(self, key: RequestKey, request_key: str) -> _Record | None:
        if len(self._records) >= self.max_records:
            return None
        rec = self._records[request_key] = _Record()
        expiry = key.issued_ms + self.retention_ms
        heapq.heappush(self._expiries, (expiry, request_key))
        return rec


def _answer_from_record(rec: _Record, attempt: str, fingerprint: str) -> ClaimAnswer:
    if rec.fingerprint and rec.fingerprint != fingerprint:
        return NotGranted("key was used for another request", has_no_claim=False)
    if rec.result is not None:
        return Finished(rec.result)
    # The reply to an earlier copy of this claim may have been lost.
    return ClaimGranted() if rec.holder == attempt else HeldBy(rec.holder)


def _grant(rec: _Record, attempt: Attempt, fingerprint: str) -> ClaimAnswer:
    if attempt.number <= rec.released.get(attempt.instance, -1):
        return NotGranted("attempt was released", has_no_claim=True)
    if (
        attempt.instance not in rec.released
        and len(rec.released) >= MAX_ENTRY_INSTANCES
    ):
        return NotGranted("too many attempts on the key", has_no_claim=True)
    rec.holder = str(attempt)
    rec.fingerprint = fingerprint
    return ClaimGranted()


def _size_bytes(result: CallResult) -> int:
    if isinstance(result, Refused):
        return len(result.reason)
    return len(result.body) + sum(len(n) + len(v) for n, v in result.headers)


def limit_result_size(result: CallResult, max_bytes: int) -> CallResult:
    """Return the result, or "answer lost" for an answer over `max_bytes`.

    Examples
    --------
    >>> limit_result_size(Answer(200, (), b"12345"), 4).outcome
    <Outcome.RUN_ANSWER_LOST: 'run_answer_lost'>
    """
    match result:
        case Answer() if _size_bytes(result) > max_bytes:
            return Refused(Outcome.RUN_ANSWER_LOST, "answer too large to keep")
        case Refused(outcome, reason):
            return Refused(outcome, reason[:200])
    return result
