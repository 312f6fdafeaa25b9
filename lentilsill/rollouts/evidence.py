"""Evidence that a version is worse than the others: counts of answers by route."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["AnswerCounts", "EvidenceRow", "EvidenceTable", "Key", "find_fault"]

# Durations are counted in buckets whose bounds differ by this factor, the root of 2.
BUCKETS_PER_OCTAVE = 2
MAX_BUCKET = 40
# An answer is slow if it took longer than this multiple of the other versions' mean on
# its route. Hosts differ in speed by a factor of up to 2 from their mean.
SLOW_FACTOR = 3.0
# Fewer answers of the other versions don't give a mean.
MIN_REFERENCE_ANSWERS = 20
# Fewer bad answers are no evidence, whatever their share.
MIN_BAD_ANSWERS = 8
# The share of slow answers must exceed that of the other versions by this difference;
# upstreams on slow or shared hosts differ by less.
MIN_SLOW_EXCESS = 0.12
MIN_FAILURE_EXCESS = 0.01
MIN_RATIO = 2.0
# Evidence in nats: -ln of the probability (Chernoff bound) that a version as good as
# the others has as many bad answers. 12 is once in 160,000; it is computed about 4
# times a second for tens of routes.
MIN_NATS = 12.0
# Evidence that must remain without the worst upstream, so that a single failing host
# does not end a roll-out.
MIN_NATS_OF_OTHERS = 3.0
# Limit on the pairs of upstream and route that a table stores.
MAX_KEYS = 50_000

# Upstream of the target version, empty for all other versions together; and route.
Key = tuple[str, str]
# upstream, route, failures, answers without a time, and pairs of bucket and count
EvidenceRow = tuple[str, str, int, int, tuple[tuple[int, int], ...]]


def bucket_of(duration_ms: float) -> int:
    """Return the bucket of a duration."""
    bucket = math.floor(BUCKETS_PER_OCTAVE * math.log2(max(duration_ms, 1.0)))
    return min(MAX_BUCKET, bucket)


@dataclass(slots=True)
class AnswerCounts:
    """Answers since the order.

    `durations` counts the successful answers of warm upstreams by bucket; `untimed`
    counts those of cold ones.
    """

    failures: int = 0
    untimed: int = 0
    durations: Counter[int] = field(default_factory=Counter)

    @property
    def answers(self) -> int:
        """Number of answers, failed ones included."""
        return self.failures + self.untimed + self.durations.total()

    def add(self, other: "AnswerCounts", factor: int = 1) -> None:
        """Add other counts, or subtract them with the factor -1."""
        self.failures += factor * other.failures
        self.untimed += factor * other.untimed
        for bucket, count in other.durations.items():
            self.durations[bucket] += factor * count

    def copy(self) -> "AnswerCounts":
        """Return a copy."""
        return AnswerCounts(self.failures, self.untimed, self.durations.copy())

    def raise_to(self, other: "AnswerCounts") -> None:
        """Take the higher count of both; counts of one source only grow."""
        self.failures = max(self.failures, other.failures)
        self.untimed = max(self.untimed, other.untimed)
        self.durations |= other.durations

    def mean_ms(self) -> float:
        """Return the mean duration, to the precision of the buckets."""
        weighted = sum(
            2 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE) * count
            for bucket, count in self.durations.items()
        )
        return weighted / max(1, self.durations.total())

    def count_above(self, bucket: int) -> int:
        """Return the number of answers in buckets above `bucket`."""
        return sum(n for found, n in self.durations.items() if found > bucket)


class EvidenceTable:
    """Counts by upstream and route, which only grow during a roll-out.

    Rows are cumulative, so a lost or repeated report changes nothing. A table merges
    the rows of one source; tables of several sources are added.
    """

    def __init__(self) -> None:
        self.counts: dict[Key, AnswerCounts] = {}
        self._changed: set[Key] = set()

    def record(
        self, upstream: str, route: str, is_failure: bool, duration_ms: float | None
    ) -> None:
        """Count an answer; the duration is None if the upstream was cold."""
        counts = self._find((upstream, route))
        if counts is None:
            return
        if is_failure:
            counts.failures += 1
        elif duration_ms is None:
            counts.untimed += 1
        else:
            counts.durations[bucket_of(duration_ms)] += 1

    def merge(self, rows: Iterable[EvidenceRow], *totals: "EvidenceTable") -> None:
        """Apply rows of the source, and add what is new to tables of totals."""
        for upstream, route, failures, untimed, durations in rows:
            key = (upstream, route)
            counts = self._find(key)
            if counts is None:
                continue
            before = counts.copy()
            found = Counter({b: n for b, n in durations if 0 <= b <= MAX_BUCKET})
            counts.raise_to(AnswerCounts(failures, untimed, found))
            if counts == before:
                self._changed.discard(key)
                continue
            for table in totals:
                if (total := table._find(key)) is not None:
                    total.add(counts)
                    total.add(before, -1)

    def copy_counts(self) -> dict[Key, AnswerCounts]:
        """Return a copy of the counts."""
        return {key: counts.copy() for key, counts in self.counts.items()}

    def take_rows(self, all_rows: bool = False) -> tuple[EvidenceRow, ...]:
        """Return the rows that have changed since the last call, or all."""
        keys = sorted(self.counts if all_rows else self._changed)
        self._changed.clear()
        return tuple(
            (*key, c.failures, c.untimed, tuple(sorted(c.durations.items())))
            for key in keys
            for c in (self.counts[key],)
        )

    def _find(self, key: Key) -> AnswerCounts | None:
        counts = self.counts.get(key)
        if counts is None:
            if len(self.counts) >= MAX_KEYS:
                return None
            counts = self.counts[key] = AnswerCounts()
        self._changed.add(key)
        return counts


_NO_ANSWERS = AnswerCounts()


@dataclass(frozen=True, slots=True)
class _Sample:
    """Bad answers, and all answers that were classified."""

    bad: int = 0
    total: int = 0

    def __add__(self, other: "_Sample") -> "_Sample":
        return _Sample(self.bad + other.bad, self.total + other.total)


def find_fault(counts: Mapping[Key, AnswerCounts]) -> str:
    """Return what is wrong with the target version, or an empty text.

    Failures and slow answers of the target version are compared with those of the
    other versions in the same time, on each route and on all routes together.
    """
    target: dict[str, dict[str, AnswerCounts]] = defaultdict(dict)
    others: dict[str, AnswerCounts] = {}
    for (upstream, route), found in counts.items():
        if upstream:
            target[route][upstream] = found
        else:
            others[route] = found
    if fault := _find_worse("failed", target, others, MIN_FAILURE_EXCESS):
        return fault
    return _find_worse("slow", target, others, MIN_SLOW_EXCESS)


def _find_worse(
    kind: str,
    target: Mapping[str, Mapping[str, AnswerCounts]],
    others: Mapping[str, AnswerCounts],
    excess: float,
) -> str:
    """Return on which route the target version is worse, or an empty text."""
    all_target: dict[str, _Sample] = defaultdict(_Sample)
    all_others = _Sample()
    for route, by_upstream in target.items():
        reference = others.get(route, _NO_ANSWERS)
        bound: int | None = None
        if kind == "slow":
            if reference.durations.total() < MIN_REFERENCE_ANSWERS:
                continue
            bound = bucket_of(SLOW_FACTOR * reference.mean_ms())
        base = _classify(reference, bound)
        samples = {u: _classify(c, bound) for u, c in by_upstream.items()}
        if _is_worse(samples, base, excess):
            return _describe(kind, samples, base, f"route {route}")
        for upstream, sample in samples.items():
            all_target[upstream] += sample
        all_others += base
    if _is_worse(all_target, all_others, excess):
        return _describe(kind, all_target, all_others, "all routes")
    return ""


def _classify(counts: AnswerCounts, bound: int | None) -> _Sample:
    """Return the failures, or the answers in buckets above `bound`."""
    if bound is None:
        return _Sample(counts.failures, counts.answers)
    return _Sample(counts.count_above(bound), counts.durations.total())


def _is_worse(samples: Mapping[str, _Sample], base: _Sample, excess: float) -> bool:
    if sum(sample.bad for sample in samples.values()) < MIN_BAD_ANSWERS:
        return False
    total = sum(samples.values(), _Sample())
    if _nats(total, base, excess) < MIN_NATS:
        return False
    if len(samples) < 2:
        return True
    worst = max(samples.values(), key=lambda s: s.bad)
    rest = _Sample(total.bad - worst.bad, total.total - worst.total)
    return _nats(rest, base, excess) >= MIN_NATS_OF_OTHERS


def _nats(sample: _Sample, base: _Sample, excess: float) -> float:
    """Return the evidence that the sample is worse than the base, in nats.

    It is the Chernoff bound on the tail of the binomial distribution (Chernoff 1952).
    """
    if not sample.total:
        return 0.0
    share = sample.bad / sample.total
    # With few answers of the other versions, more failures are expected of them.
    expected = (base.bad + 1) / (base.total + 2)
    if share < expected + excess or share < MIN_RATIO * expected:
        return 0.0
    divergence = share * math.log(share / expected)
    if share < 1:
        divergence += (1 - share) * math.log((1 - share) / (1 - expected))
    return sample.total * divergence


def _describe(
    kind: str, samples: Mapping[str, _Sample], base: _Sample, place: str
) -> str:
    total = sum(samples.values(), _Sample())
    return (
        f"{total.bad} of {total.total} answers {kind} on {place}, "
        f"of other versions {base.bad} of {base.total}"
    )
