"""Builders of records for tests."""

from lentilsill.membership import (
    NodeRecord,
    NodeState,
    UpstreamRecord,
    UpstreamState,
)

__all__ = ["make_record", "make_upstream"]


def make_upstream(name="u1", service="slots", state=UpstreamState.READY):
    return UpstreamRecord(
        name, service, "127.0.0.1:9000", 6, (("release", "1"),), state
    )


def make_record(node="a", generation=1, seq=0, upstreams=(), instance="i"):
    return NodeRecord(
        node,
        "lahore",
        instance,
        generation,
        seq,
        f"127.0.0.1:{7000 + sum(node.encode())}",
        "127.0.0.1:8000",
        NodeState.READY,
        tuple(upstreams),
    )
