"""Records of the own domain's nodes with liveness verdicts."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

import xxhash

from .records import Liveness, NodeRecord

__all__ = ["BUCKETS", "Entry", "MemberTable"]

# Buckets of the hash comparison. With 511 members, one difference takes 0.6 KB
# with 32 buckets; 16 and 64 take more (bench/sizes.py).
BUCKETS = 32

# SWIM spreads a change to all members with high probability when each member
# repeats it a small multiple of log2(n) times (Das et al. 2002, section 4.1).
RETRANSMIT_FACTOR = 3

# generation, seq, instance, verdict
Precedence = tuple[int, int, str, int]


@dataclass(frozen=True, slots=True)
class Entry:
    """A record, the verdict on it, and when this table learned it (seconds)."""

    record: NodeRecord
    liveness: Liveness
    changed_at: float

    @property
    def precedence(self) -> Precedence:
        """Total order of what can be said about one node.

        The instance decides between two processes that were started under one
        name in the same millisecond, so that all tables keep the same one.
        """
        record = self.record
        return (*record.order, record.instance, int(self.liveness))

    @property
    def hash(self) -> int:
        """64-bit hash of what the entry says; 0 for a dead node."""
        if self.liveness == Liveness.DEAD:
            return 0
        text = f"{self.record.node}\0{self.precedence}"
        return xxhash.xxh64_intdigest(text.encode())


class MemberTable:
    """Merges records; the result does not depend on order or repetition.

    Parameters
    ----------
    own : NodeRecord
        Record of this node; only this table raises its `seq` and `generation`.
    dead_retention_s : float
        How long a dead node's (generation, seq) is kept, in seconds. During
        that time a peer that missed the death can't bring the record back.
    max_members : int
        Records of further nodes are refused.

    Attributes
    ----------
    version : int
        Grows with every change, for caches of what is derived from the table.
    """

    def __init__(
        self, own: NodeRecord, dead_retention_s: float = 120.0, max_members: int = 4096
    ) -> None:
        self._me = own.node
        self._domain = own.domain
        self._dead_retention_s = dead_retention_s
        self._max_members = max_members
        self._entries: dict[str, Entry] = {}
        self._recent: dict[str, int] = {}
        self._bucket_hashes = [0] * BUCKETS
        self._bucket_nodes: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.version = 0
        self._put(Entry(own, Liveness.ALIVE, 0.0))

    @property
    def own(self) -> NodeRecord:
        """Record of this node."""
        return self._entries[self._me].record

    @property
    def records_hash(self) -> int:
        """64-bit hash of the records and verdicts, apart from dead nodes.

        Dead nodes are left out, so that tables which forget them at different
        times stay equal.
        """
        total = 0
        for value in self._bucket_hashes:
            total ^= value
        return total

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Hash of each bucket of records; together they give `records_hash`."""
        return tuple(self._bucket_hashes)

    def differing_buckets(self, theirs: Collection[int]) -> list[int]:
        """List the buckets whose hash differs from a peer's."""
        pairs = zip(self._bucket_hashes, theirs, strict=False)
        return [i for i, (mine, other) in enumerate(pairs) if mine != other]

    def hashes_in(self, buckets: Iterable[int]) -> list[int]:
        """List the entry hashes of the live nodes in some buckets."""
        return [entry.hash for entry in self._live_in(buckets)]

    def missing(self, buckets: Iterable[int], hashes: Collection[int]) -> list[Entry]:
        """List the live entries in some buckets that `hashes` does not name."""
        known = set(hashes)
        return [entry for entry in self._live_in(buckets) if entry.hash not in known]

    def with_hashes(self, hashes: Collection[int]) -> list[Entry]:
        """List the live entries that `hashes` names."""
        wanted = set(hashes)
        return [entry for entry in self.live() if entry.hash in wanted]

    def newer_than_rows(
        self, rows: Iterable[tuple[NodeRecord, Liveness]]
    ) -> list[Entry]:
        """List the entries that are newer than the rows about their nodes.

        A dead node has no hash, so a peer learns of its death by this answer.
        """
        found = []
        for record, liveness in rows:
            entry = self._entries.get(record.node)
            if entry is None or record.node == self._me:
                continue
            if entry.precedence > Entry(record, liveness, 0.0).precedence:
                found.append(entry)
        return found

    def get(self, node: str) -> Entry | None:
        """Give the entry of a node, dead or not."""
        return self._entries.get(node)

    def entries(self) -> list[Entry]:
        """List all entries, with those of dead nodes that are remembered."""
        return list(self._entries.values())

    def live(self) -> list[Entry]:
        """List the entries of nodes that are alive or suspect."""
        return [e for e in self._entries.values() if e.liveness != Liveness.DEAD]

    def newer_than(self, known: Mapping[str, Precedence]) -> list[Entry]:
        """List the entries that a peer with `known` lacks or has older.

        Dead nodes that the peer does not know are left out: each table would
        otherwise teach them anew to one that has forgotten them.
        """
        return [
            e
            for node, e in self._entries.items()
            if (e.precedence > known[node] if node in known else e.hash)
        ]

    def update_own(self, record: NodeRecord, now: float) -> bool:
        """Replace the own record; its generation and seq are set here."""
        own = self.own
        if replace(record, generation=own.generation, seq=own.seq) == own:
            return False
        self._put_own(replace(record, generation=own.generation, seq=own.seq + 1), now)
        return True

    def merge(
        self, rows: Iterable[tuple[NodeRecord, Liveness]], now: float
    ) -> list[Entry]:
        """Take in records with verdicts and give the entries that changed.

        A verdict on the own record, or a record of an earlier process under the
        own name, is refuted: the own record is raised above it.
        """
        changed = []
        for record, liveness in rows:
            if record.domain != self._domain:
                continue
            if record.node == self._me:
                entry = self._refute(record, liveness, now)
            else:
                entry = self._merge_one(Entry(record, liveness, now))
            if entry is not None:
                changed.append(entry)
        return changed

    def apply_verdict(
        self, node: str, order: tuple[int, int], liveness: Liveness, now: float
    ) -> Entry | None:
        """Add a verdict on the record of `node` with this (generation, seq).

        None when the record has been replaced or has a graver verdict already.
        """
        entry = self._entries.get(node)
        if node == self._me or entry is None or entry.record.order != order:
            return None
        return self._merge_one(Entry(entry.record, liveness, now))

    def expire(self, now: float) -> None:
        """Forget nodes that have been dead for the memory time."""
        for node, entry in list(self._entries.items()):
            is_old = now - entry.changed_at >= self._dead_retention_s
            if entry.liveness == Liveness.DEAD and is_old:
                self._forget(node)

    @property
    def unsent(self) -> int:
        """Number of entries that `take_recent` still gives."""
        return len(self._recent)

    def take_recent(self, limit: int) -> list[Entry]:
        """Give up to `limit` changed entries that were sent least often."""
        nodes = sorted(self._recent, key=lambda n: -self._recent[n])[:limit]
        for node in nodes:
            self._recent[node] -= 1
            if self._recent[node] <= 0:
                del self._recent[node]
        return [self._entries[node] for node in nodes]

    def _merge_one(self, new: Entry) -> Entry | None:
        node = new.record.node
        old = self._entries.get(node)
        if old is not None and new.precedence <= old.precedence:
            return None
        if old is None and not self._make_room():
            return None
        if new.liveness == Liveness.DEAD:
            # Only the order is needed to refuse late records.
            new = replace(new, record=replace(new.record, upstreams=()))
        self._put(new)
        return new

    def _make_room(self) -> bool:
        if len(self._entries) < self._max_members:
            return True
        dead = [e for e in self._entries.values() if e.liveness == Liveness.DEAD]
        if not dead:
            return False
        oldest = min(dead, key=lambda e: e.changed_at).record.node
        self._forget(oldest)
        return True

    def _forget(self, node: str) -> None:
        del self._entries[node]
        self._bucket_nodes[_bucket_of(node)].discard(node)
        self._recent.pop(node, None)

    def _live_in(self, buckets: Iterable[int]) -> list[Entry]:
        nodes = [n for b in buckets if b < BUCKETS for n in self._bucket_nodes[b]]
        entries = [self._entries[node] for node in nodes]
        return [e for e in entries if e.liveness != Liveness.DEAD]

    def _refute(
        self, record: NodeRecord, liveness: Liveness, now: float
    ) -> Entry | None:
        own = self.own
        is_same = record.instance == own.instance
        is_accused = liveness != Liveness.ALIVE and record.order >= own.order
        is_newer = record.order > own.order
        if not (is_newer or is_accused or (record.order == own.order and not is_same)):
            return None
        if is_same and record.generation == own.generation:
            raised = replace(own, seq=record.seq + 1)
        else:
            raised = replace(own, generation=record.generation + 1, seq=0)
        return self._put_own(raised, now)

    def _put_own(self, record: NodeRecord, now: float) -> Entry:
        entry = Entry(record, Liveness.ALIVE, now)
        self._put(entry)
        return entry

    def _put(self, entry: Entry) -> None:
        node = entry.record.node
        bucket = _bucket_of(node)
        old = self._entries.get(node)
        if old is not None:
            self._bucket_hashes[bucket] ^= old.hash
        self._bucket_hashes[bucket] ^= entry.hash
        self._bucket_nodes[bucket].add(node)
        self._entries[node] = entry
        self.version += 1
        self._recent[node] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._entries) + 1)
        )


def _bucket_of(node: str) -> int:
    return xxhash.xxh64_intdigest(node.encode()) % BUCKETS
