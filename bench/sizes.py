"""In-process measurements at the size that the product is designed for.

511 nodes in each of 9 domains, one upstream per node and 120 documents of 4 KB. Times
are processor time of this process. Prints JSON lines.
"""

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lentilsill.distribution import fanout_children
from lentilsill.membership import (
    DomainSummary,
    Liveness,
    MemberTable,
    NodeRecord,
    NodeState,
    UpstreamRecord,
    UpstreamState,
    apply_delta,
    build_summary,
    diff_summaries,
    record_to_row,
)
from lentilsill.routing import Selector
from lentilsill.versioning import Changes, DocumentRecord, DocumentStore
from lentilsill.wire.messages import (
    Delta,
    Digest,
    Probe,
    ProbeAck,
    Records,
    Summary,
    decode,
    encode,
    make_unpacker,
)

from .results import describe_version, emit

__all__ = ["main", "make_document_text"]

NODES = 511
DOMAINS = 9
SERVICES = 120
DOCUMENT_BYTES = 4096
START_MS = 1_800_000_000_000
FANOUT = 8
SEED = 1
DIGEST = (1 << 20, 1 << 63, 1 << 63)


def _emit(measure: str, value: float, unit: str) -> None:
    emit(measure, value, unit, nodes=NODES, seed=SEED, version=version_text)


version_text = describe_version()


def _make_record(domain: int, number: int) -> NodeRecord:
    name = f"domain{domain}-{number}"
    ip = f"10.{domain}.{number // 250}.{number % 250}"
    upstream = UpstreamRecord(
        f"service-{number % SERVICES}-1-{name}",
        f"service-{number % SERVICES}",
        f"{ip}:8101",
        6,
        (("release", "1"),),
        UpstreamState.READY,
        START_MS,
    )
    return NodeRecord(
        name,
        f"domain{domain}",
        f"{number:016x}",
        START_MS,
        5,
        f"{ip}:7001",
        f"{ip}:8001",
        NodeState.READY,
        (upstream,),
    )


def make_document_text(number: int, note: str = "") -> str:
    """Return the JSON text of a document of about 4 KB."""
    service = f"service-{number}"
    target = {"service": service, "upstream_set": "current", "weight": 100}

    def route(index: int) -> dict[str, Any]:
        match = {"path_prefix": f"/route-{index}{note}", "methods": ["GET"]}
        return {
            "name": f"route-{index}",
            "match": match,
            "targets": [target],
            "idempotent": True,
            "deadline_ms": 800,
            "retry": {"max_attempts": 3, "budget_percent": 10},
        }

    value: dict[str, Any] = {
        "service": service,
        "upstream_sets": {"current": {"labels": {"release": "1"}}},
        "routes": [],
    }
    while len(json.dumps(value)) < DOCUMENT_BYTES:
        value["routes"].append(route(len(value["routes"])))
    return json.dumps(value, separators=(",", ":"))


def _measure_cpu_ms(work: Callable[[], object], repeat_count: int) -> float:
    start_s = time.process_time()
    for _ in range(repeat_count):
        work()
    return (time.process_time() - start_s) / repeat_count * 1000


def _measure_memory(make: Callable[[], Any]) -> tuple[Any, int]:
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return value, used_bytes


def _make_round_trip(message: Any) -> Callable[[], object]:
    def encode_and_decode() -> None:
        unpacker = make_unpacker()
        unpacker.feed(encode(message))
        for obj in unpacker:
            decode(obj)

    return encode_and_decode


def _make_table() -> MemberTable:
    table = MemberTable(_make_record(0, 0))
    table.merge([(_make_record(0, i), Liveness.ALIVE) for i in range(NODES)], 0.0)
    while table.take_recent(NODES):
        pass
    return table


def measure_table() -> None:
    """Measure a table of 511 records: memory, merge, repair and fan-out tree."""
    table, used_bytes = _measure_memory(_make_table)
    _emit("table_memory_per_record", used_bytes / NODES, "B")
    seqs = iter(range(6, 10_000))

    def change_record() -> None:
        record = replace(_make_record(0, 7), seq=next(seqs))
        table.merge([(record, Liveness.ALIVE)], 1.0)

    _emit("record_merge_cpu", _measure_cpu_ms(change_record, 500), "ms")
    names = [e.record.node for e in table.live()]
    order_tree = lambda: fanout_children(names[1], names[0], names, FANOUT)  # noqa: E731
    _emit("tree_order_cpu", _measure_cpu_ms(order_tree, 50), "ms")
    rows: Any = tuple(record_to_row(e.record, e.liveness) for e in table.live())
    _emit("record_push_bytes", len(encode(Records(rows[:1], push=True))), "B")
    _emit("probe_idle_bytes", len(encode(Probe(1 << 20, DIGEST))), "B")
    _emit("probe_6_rows_bytes", len(encode(Probe(1 << 20, DIGEST, rows[:6]))), "B")
    _emit("digest_bytes", len(encode(Digest(*DIGEST))), "B")
    for name, message in (
        ("probe_idle", Probe(1 << 20, DIGEST)),
        ("probe_ack_6_rows", ProbeAck(1 << 20, DIGEST, rows[:6])),
        ("digest", Digest(*DIGEST)),
    ):
        _emit(
            f"{name}_codec_cpu", _measure_cpu_ms(_make_round_trip(message), 500), "ms"
        )
    all_records = Records(rows, want_reply=True)
    _emit("table_whole_bytes", len(encode(all_records)), "B")
    _emit(
        "table_whole_codec_cpu",
        _measure_cpu_ms(_make_round_trip(all_records), 10),
        "ms",
    )
    _emit_repair_sizes(rows)


def _emit_repair_sizes(rows: Any) -> None:
    """Compute the bytes of one repair by the number of buckets and of differences.

    ``hashes``: rows of differing buckets are listed by record hash, and the receiver
    may send a row that is older; ``rows``: by (node, generation, seq, verdict).
    """
    bucket_hash = 1 << 63
    row_bytes = len(encode(rows)) / len(rows)
    row_id_bytes = len(encode((rows[0][0], rows[0][3], rows[0][4], 0)))
    for buckets in (8, 16, 32, 64, 128):
        table_bytes = len(encode(Records((), table=(bucket_hash,) * buckets)))
        for differing in (1, 10, 150):
            listed_buckets = buckets * (1 - (1 - 1 / buckets) ** differing)
            listed_records = listed_buckets * NODES / buckets
            by_hash_bytes = table_bytes + 9 * listed_records + 2 * row_bytes * differing
            by_row_bytes = (
                table_bytes + row_id_bytes * listed_records + row_bytes * differing
            )
            label = f"{buckets}_buckets_{differing}_differ_bytes"
            _emit(f"repair_hashes_{label}", by_hash_bytes, "B")
            _emit(f"repair_rows_{label}", by_row_bytes, "B")


def measure_summaries() -> None:
    """Measure the summary of a domain of 511 nodes, in full and as a delta."""
    records = [_make_record(1, i) for i in range(NODES)]
    old = build_summary("domain1", 1, records)
    records[7] = replace(records[7], seq=6)
    new = build_summary("domain1", 2, records)
    delta = diff_summaries(old, new)

    def rows(nodes: Any) -> Any:
        return tuple(record_to_row(node) for node in nodes)

    full_summary = Summary("domain1", 1, old.totals, rows(old.nodes))
    delta_summary = Summary(
        "domain1", 2, delta.totals, rows(delta.nodes), "", True, delta.gone
    )
    _emit("summary_whole_bytes", len(encode(full_summary)), "B")
    _emit("summary_delta_bytes", len(encode(delta_summary)), "B")
    build = lambda: build_summary("domain1", 1, records)  # noqa: E731
    _emit("summary_build_cpu", _measure_cpu_ms(build, 20), "ms")
    _emit(
        "summary_apply_cpu", _measure_cpu_ms(lambda: apply_delta(old, delta), 20), "ms"
    )

    def build_remote_summaries() -> list[DomainSummary]:
        return [
            build_summary(f"domain{d}", 1, [_make_record(d, i) for i in range(NODES)])
            for d in range(1, DOMAINS)
        ]

    _emit("summaries_memory", _measure_memory(build_remote_summaries)[1], "B")


def measure_documents() -> None:
    """Measure a store of 120 documents: memory, and the cost of one change."""

    def make_store() -> DocumentStore:
        store = DocumentStore()
        records = [
            DocumentRecord(f"service-{i}", i + 1, False, make_document_text(i))
            for i in range(SERVICES)
        ]
        store.merge(Changes(0, SERVICES, True, tuple(records)))
        return store

    store, used_bytes = _measure_memory(make_store)
    assert len(store.snapshot.documents) == SERVICES
    _emit("documents_memory", used_bytes, "B")
    versions = iter(range(SERVICES + 1, 1_000_000))

    def change_document() -> None:
        version = next(versions)
        record = DocumentRecord(
            "service-7", version, False, make_document_text(7, f"-{version}")
        )
        store.merge(Changes(version - 1, version, False, (record,)))

    _emit("document_change_cpu", _measure_cpu_ms(change_document, 50), "ms")
    row = ("service-7", 200, False, make_document_text(7))
    delta = Delta(199, 200, False, (row,), "domain0-1")
    _emit("delta_bytes", len(encode(delta)), "B")
    _emit("delta_codec_cpu", _measure_cpu_ms(_make_round_trip(delta), 200), "ms")
    all_rows = tuple(
        (f"service-{i}", i, False, make_document_text(i)) for i in range(SERVICES)
    )
    _emit("full_sync_bytes", len(encode(Delta(0, 200, True, all_rows))), "B")
    _measure_selector(store)


def _measure_selector(store: DocumentStore) -> None:
    nodes = [_make_record(d, i) for d in range(DOMAINS) for i in range(NODES)]
    rng = random.Random(SEED)

    def make_selector() -> Selector:
        selector = Selector("domain0", rng)
        selector.update(store.snapshot, nodes)
        _pick_all_services(selector)
        return selector

    selector, used_bytes = _measure_memory(make_selector)
    _emit("selector_memory", used_bytes, "B")
    update = lambda: selector.update(store.snapshot, nodes)  # noqa: E731
    _emit("selector_update_cpu", _measure_cpu_ms(update, 20), "ms")

    def rebuild() -> None:
        update()
        _pick_all_services(selector)

    _emit("selector_rebuild_all_services_cpu", _measure_cpu_ms(rebuild, 10), "ms")


def _pick_all_services(selector: Selector) -> None:
    for i in range(SERVICES):
        selector.pick(f"service-{i}", "current", 1.0, START_MS)


def main() -> None:
    """Run all measurements."""
    measure_table()
    measure_summaries()
    measure_documents()


if __name__ == "__main__":
    main()
