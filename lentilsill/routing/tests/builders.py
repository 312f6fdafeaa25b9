"""Builders of nodes and documents for tests of the selector."""

from lentilsill.documents import Limits, ServiceDocument, UpstreamSet
from lentilsill.membership import NodeRecord, NodeState, UpstreamRecord, UpstreamState


def make_node(name, domain="lahore", state=NodeState.READY, slots=6):
    record = UpstreamRecord(
        f"w-{name}", "slots", "127.0.0.1:1", slots, (), UpstreamState.READY
    )
    return NodeRecord(
        name, domain, f"i-{name}", 1, 1, "127.0.0.1:2", "", state, (record,)
    )


def make_document(leaving=False):
    sets = {"all": UpstreamSet("all", (), leaving)}
    return ServiceDocument("slots", 1, sets, (), Limits(), ())
