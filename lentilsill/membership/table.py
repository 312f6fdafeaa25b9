"""Records of the local domain's nodes with liveness verdicts."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

import xxhash

from .records import Liveness, NodeRecord

__all__ = ["BUCKET_COUNT", "Entry", "MemberTable"]

# Two tables are compared by one hash for each bucket of nodes. With 511 members, the
# repair of one difference takes 0.6 KB with 32 buckets; 16 and 64 take more
# (bench/sizes.py).
BUCKET_COUNT = 32

# A change reaches all members with high probability when each member sends it a small
# multiple of log2(n) times (Das et al. 2002, section 4.1).
RETRANSMIT_FACTOR = 3

# generation, seq, instance, verdict
Precedence = tuple[int, int, str, int]


@dataclass(frozen=True, slots=True)
class Entry:
    """A record, the verdict on it, and when this table stored them, in seconds."""

    record: NodeRecord
    liveness: Liveness
    changed_at: float

    @property
    def precedence(self) -> Precedence:
        """Sort key of the entries of one node; the highest one is kept.

        The instance decides between two processes that were started with the same
        name in the same millisecond, so that all tables keep the same one.
        """
        record = self.record
        return (*record.order, record.instance, int(self.liveness))

    @property
    def hash(self) -> int:
        """64-bit hash of node and precedence; 0 for a dead node."""
        if self.liveness == Liveness.DEAD:
            return 0
        text = f"{self.record.node}\0{self.precedence}"
        return xxhash.xxh64_intdigest(text.encode())


class MemberTable:
    """Merges records of nodes; their order and repetition don't change the result.

    Parameters
    ----------
    own : NodeRecord
        Record of this node; only this table increases its `seq` and `generation`.
    dead_retention_s : float
        How long a dead node's (generation, seq) is kept, in seconds. During
        that time, a peer that missed the death can't restore the record.
    max_members : int
        Limit on the nodes in the table. Dead nodes make room for further nodes; when
        there are none, records of further nodes are refused.

    Attributes
    ----------
    version : int
        Increases with every change, for caches of data derived from the table.
    """

    def __init__(
        self, own: NodeRecord, dead_retention_s: float = 120.0, max_members: int = 4096
    ) -> None:
        self._own_node = own.node
        self._domain = own.domain
        self._dead_retention_s = dead_retention_s
        self._max_members = max_members
        self._entries: dict[str, Entry] = {}
        self._sends_left: dict[str, int] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._bucket_nodes: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.version = 0
        self._put(Entry(own, Liveness.ALIVE, 0.0))

    @property
    def own(self) -> NodeRecord:
        """Record of this node."""
        return self._entries[self._own_node].record

    @property
    def records_hash(self) -> int:
        """64-bit hash of the records and verdicts of nodes that are not dead.

        Dead nodes are left out, so that tables that remove them at different times
        have the same hash.
        """
        total = 0
        for value in self._bucket_hashes:
            total ^= value
        return total

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Hash of each bucket; their XOR is `records_hash`."""
        return tuple(self._bucket_hashes)

    def differing_buckets(self, theirs: Collection[int]) -> list[int]:
        """Return the indices of the buckets whose hash differs from a peer's."""
        pairs = zip(self._bucket_hashes, theirs, strict=False)
        return [i for i, (mine, other) in enumerate(pairs) if mine != other]

    def hashes_in(self, buckets: Iterable[int]) -> list[int]:
        """Return the hashes of the live entries in `buckets`."""
        return [entry.hash for entry in self._live_in(buckets)]

    def missing(self, buckets: Iterable[int], hashes: Collection[int]) -> list[Entry]:
        """Return the live entries in `buckets` whose hash is not in `hashes`."""
        known = set(hashes)
        return [entry for entry in self._live_in(buckets) if entry.hash not in known]

    def with_hashes(self, hashes: Collection[int]) -> list[Entry]:
        """Return the live entries whose hash is in `hashes`."""
        wanted = set(hashes)
        return [entry for entry in self.live() if entry.hash in wanted]

    def newer_than_rows(
        self, rows: Iterable[tuple[NodeRecord, Liveness]]
    ) -> list[Entry]:
        """Return the entries that are newer than the rows of the same nodes.

        The hash of a dead node is 0, so the comparison of hashes doesn't show a death;
        a peer learns of it from these entries.
        """
        found = []
        for record, liveness in rows:
            entry = self._entries.get(record.node)
            if entry is None or record.node == self._own_node:
                continue
            if entry.precedence > Entry(record, liveness, 0.0).precedence:
                found.append(entry)
        return found

    def get(self, node: str) -> Entry | None:
        """Return the entry of a node, which may be dead."""
        return self._entries.get(node)

    def entries(self) -> list[Entry]:
        """Return all entries, including those of dead nodes."""
        return list(self._entries.values())

    def live(self) -> list[Entry]:
        """Return the entries of nodes that are alive or suspect."""
        return [e for e in self._entries.values() if e.liveness != Liveness.DEAD]

    def newer_than(self, known: Mapping[str, Precedence]) -> list[Entry]:
        """Return the entries that are missing from `known` or newer than there.

        `known` holds a peer's precedence by node. Dead nodes that the peer does not
        know are left out; otherwise tables would send them again and again to peers
        that have already removed them.
        """
        return [
            e
            for node, e in self._entries.items()
            if (e.precedence > known[node] if node in known else e.hash)
        ]

    def update_own(self, record: NodeRecord, now: float) -> bool:
        """Replace this node's record with the next seq; return whether it changed.

        The generation and seq of `record` are ignored.
        """
        own = self.own
        if replace(record, generation=own.generation, seq=own.seq) == own:
            return False
        self._put_own(replace(record, generation=own.generation, seq=own.seq + 1), now)
        return True

    def merge(
        self, rows: Iterable[tuple[NodeRecord, Liveness]], now: float
    ) -> list[Entry]:
        """Merge records with verdicts and return the entries that changed.

        A suspect or dead verdict on this node's record, or a record of an earlier
        process with this node's name, is refuted: this node's record gets a higher
        (generation, seq).
        """
        changed = []
        for record, liveness in rows:
            if record.domain != self._domain:
                continue
            if record.node == self._own_node:
                entry = self._refute(record, liveness, now)
            else:
                entry = self._merge_one(Entry(record, liveness, now))
            if entry is not None:
                changed.append(entry)
        return changed

    def apply_verdict(
        self, node: str, order: tuple[int, int], liveness: Liveness, now: float
    ) -> Entry | None:
        """Apply a verdict on the record of `node` with the (generation, seq) `order`.

        Return None when the record has been replaced, or already has this verdict or
        a more severe one.
        """
        entry = self._entries.get(node)
        if node == self._own_node or entry is None or entry.record.order != order:
            return None
        return self._merge_one(Entry(entry.record, liveness, now))

    def expire(self, now: float) -> None:
        """Remove nodes that have been dead for `dead_retention_s`."""
        for node, entry in list(self._entries.items()):
            is_old = now - entry.changed_at >= self._dead_retention_s
            if entry.liveness == Liveness.DEAD and is_old:
                self._forget(node)

    @property
    def unsent(self) -> int:
        """Number of changed entries that `take_recent` can still return."""
        return len(self._sends_left)

    def take_recent(self, limit: int) -> list[Entry]:
        """Return up to `limit` changed entries and count one send of each.

        Entries with the most sends left come first.
        """
        nodes = sorted(self._sends_left, key=lambda n: -self._sends_left[n])[:limit]
        for node in nodes:
            self._sends_left[node] -= 1
            if self._sends_left[node] <= 0:
                del self._sends_left[node]
        return [self._entries[node] for node in nodes]

    def _merge_one(self, new: Entry) -> Entry | None:
        node = new.record.node
        old = self._entries.get(node)
        if old is not None and new.precedence <= old.precedence:
            return None
        if old is None and not self._make_room():
            return None
        if new.liveness == Liveness.DEAD:
            # Only (generation, seq) is needed to ignore outdated records.
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
        self._sends_left.pop(node, None)

    def _live_in(self, buckets: Iterable[int]) -> list[Entry]:
        nodes = [n for b in buckets if b < BUCKET_COUNT for n in self._bucket_nodes[b]]
        entries = [self._entries[node] for node in nodes]
        return [e for e in entries if e.liveness != Liveness.DEAD]

    def _refute(
        self, record: NodeRecord, liveness: Liveness, now: float
    ) -> Entry | None:
        own = self.own
        is_same_process = record.instance == own.instance
        has_bad_verdict = liveness != Liveness.ALIVE and record.order >= own.order
        is_newer = record.order > own.order
        if not (
            is_newer
            or has_bad_verdict
            or (record.order == own.order and not is_same_process)
        ):
            return None
        if is_same_process and record.generation == own.generation:
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
        self._sends_left[node] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._entries) + 1)
        )


def _bucket_of(node: str) -> int:
    return xxhash.xxh64_intdigest(node.encode()) % BUCKET_COUNT
