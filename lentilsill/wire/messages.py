"""Typed messages between nodes and their msgpack encoding.

A message is a msgpack array whose first element is the message number. A record is
sent as a row (a tuple); the package that defines the record converts it.
"""

from collections.abc import Iterator
from typing import Any, Union, get_args

import msgpack
import msgspec

from .call_messages import (
    Answer,
    Call,
    Cancel,
    Claim,
    ClaimReply,
    GoAway,
    NoticeRow,
    OutcomeQuery,
    OutcomeReply,
    Ping,
    PlainAnswer,
    PlainRefusal,
    Pong,
    QuotaGrant,
    QuotaRequest,
    Refusal,
    Release,
    StoreOutcome,
)
from .rollout_messages import RolloutReport, RolloutState

__all__ = [
    "CALLS",
    "CONTROL",
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "REQUIRED_FEATURES",
    "Answer",
    "Applied",
    "Busy",
    "Call",
    "Cancel",
    "Claim",
    "ClaimReply",
    "CrashReport",
    "Delta",
    "DeltaRequest",
    "Digest",
    "GoAway",
    "Hello",
    "IndirectProbe",
    "Message",
    "NoticeRow",
    "OutcomeQuery",
    "OutcomeReply",
    "Ping",
    "PlainAnswer",
    "PlainRefusal",
    "Pong",
    "Probe",
    "ProbeAck",
    "QuotaGrant",
    "QuotaRequest",
    "Records",
    "Refusal",
    "Release",
    "RolloutReport",
    "RolloutState",
    "SentMessage",
    "StoreOutcome",
    "Summary",
    "WireError",
    "decode",
    "encode",
    "make_unpacker",
]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
UNPACK_BUFFER_BYTES = 16 * 1024

# Purposes of a link, as sent in `Hello`.
CONTROL = "control"
CALLS = "calls"

# upstream, service, address, slots, labels, state, ready_at_ms
UpstreamRow = tuple[str, str, str, int, tuple[tuple[str, str], ...], int, int]
# service, version, deleted, canonical JSON text of the document
DocumentRow = tuple[str, int, bool, str]
# name, version, version of the base, hash of the text, and parts of the text; a part is
# a range of lines of the base (first, count) or holds new lines
PatchRow = tuple[str, int, int, int, tuple[tuple[int, int] | str, ...]]


class WireError(Exception):
    """A peer sent bytes that are not a valid message."""


class NodeRow(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of a node record; it is read and compared as a tuple.

    `liveness` is the sender's verdict. `link_mbps` is the rate of the host's network
    link in Mbit/s, and is left out where it is not known.
    """

    node: str
    domain: str
    instance: str
    generation: int
    seq: int
    peer_address: str
    caller_address: str
    state: int
    upstreams: tuple[UpstreamRow, ...]
    liveness: int
    link_mbps: int = 0

    def __iter__(self) -> Iterator[Any]:
        return iter(msgspec.structs.astuple(self))

    def __getitem__(self, index: int) -> Any:
        return msgspec.structs.astuple(self)[index]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First message that each side of a link sends.

    `compression` lists the compression methods that the sender can read. `has_eras`
    states that its messages hold positions in the history of the platform's store, and
    not revisions. `features` names the messages and fields that the sender reads beyond
    those of the first release; a peer that doesn't name a feature gets none of them.
    """

    protocol_version: int
    node: str
    instance: str
    domain: str
    purpose: str
    peer_address: str
    compression: tuple[str, ...] = ()
    has_eras: bool = False
    features: tuple[str, ...] = ()


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Constant-size summary of the sender's documents and node records.

    The sender has every change up to the revision `complete_as_of`. `age_ms` is the
    age of the last confirmation that its documents are the platform's newest, and is
    negative when it is not known. A push is forwarded along a tree of nodes, and
    `root` names the node at its root; it is empty in other digests.
    """

    complete_as_of: int
    documents_hash: int
    records_hash: int
    age_ms: int = -1
    root: str = ""


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Liveness probe with the sender's digest and recent node records."""

    probe_id: int
    digest: tuple[int, int, int]
    rows: tuple[NodeRow, ...] = ()


class ProbeAck(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answer to `Probe`, or to `IndirectProbe` on behalf of its target `node`."""

    probe_id: int
    digest: tuple[int, int, int]
    rows: tuple[NodeRow, ...] = ()
    node: str = ""


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request to the receiver to probe `node` at `address`."""

    probe_id: int
    address: str
    node: str = ""


class Records(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Node records of the sender's domain; `want_reply` asks for the receiver's.

    With `push`, the receiver forwards each record that is new to it along the tree
    whose root is the node of that record.

    Two nodes whose tables differ repair them with these messages:

    1. The first node sends the hashes of all its buckets (`table`).
    2. The second node sends the numbers of `buckets` that differ, and the `hashes`
       of its records in them.
    3. The first node sends its records in these buckets that the second node lacks,
       and the `hashes` of the records that it lacks itself.
    4. The second node sends the records with these hashes.

    `summaries` lists (domain, generation, content hash); the receiver sends those of
    its summaries that are newer.
    """

    rows: tuple[NodeRow, ...]
    want_reply: bool = False
    push: bool = False
    table: tuple[int, ...] = ()
    buckets: tuple[int, ...] = ()
    hashes: tuple[int, ...] = ()
    summaries: tuple[tuple[str, int, int], ...] = ()


class DeltaRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Request for the documents that changed after the revision `complete_as_of`.

    `held` is the version of the bundle that the sender can apply a patch to, or 0.
    """

    complete_as_of: int
    held: int = 0


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """All changes of documents after revision `base` up to `complete_as_of`.

    With `full`, the rows are all documents and `base` is 0. A push is forwarded along
    a tree of nodes, and `root` names the node at its root; `root` is empty in the
    answer to a `DeltaRequest`. `patches` are rows for a receiver that has their base.
    A delta with patches never advances `complete_as_of`, so that a receiver that
    can't read them misses no change.
    """

    base: int
    complete_as_of: int
    full: bool
    rows: tuple[DocumentRow, ...]
    root: str = ""
    patches: tuple[PatchRow, ...] = ()


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answer to a `DeltaRequest`: the sender serves too many full syncs now."""

    retry_after_ms: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The sender has applied all documents up to `revision`.

    `in_force` lists the (service, version) pairs in force at the sender.
    """

    revision: int
    in_force: tuple[tuple[str, int], ...] = ()


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Summary of a domain for other domains.

    `totals` holds (service, ready upstreams, slots), and `nodes` holds node records
    with only the upstreams that the summary names. `root` is as in `Delta`.
    With `partial`, the message holds only the differences from an older summary:
    `gone` names the nodes to remove, and a service without ready upstreams has a
    total of 0. The hash of the resulting summary must be `content_hash`.
    """

    domain: str
    generation: int
    totals: tuple[tuple[str, int, int], ...]
    nodes: tuple[NodeRow, ...]
    root: str = ""
    partial: bool = False
    gone: tuple[str, ...] = ()
    content_hash: int = 0


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Losses of upstreams, and requests that have been cleared since.

    `rows` are (fingerprint, count, remaining lifetime in ms), with a count of 2 for a
    quarantined request, for nodes that know no losses. Rows in `losses` are (id, age
    in ms, runs), with runs of (fingerprint, is trial), and those in `cleared` are
    (fingerprint, age in ms). `root` is as in `Delta`; `want_reply` asks for the
    receiver's report.
    """

    rows: tuple[tuple[str, int, int], ...]
    root: str = ""
    want_reply: bool = False
    losses: tuple[tuple[str, int, tuple[tuple[str, bool], ...]], ...] = ()
    cleared: tuple[tuple[str, int], ...] = ()


Message = Union[  # noqa: UP007 - msgspec needs one union object at run time
    Hello,
    Digest,
    Probe,
    ProbeAck,
    IndirectProbe,
    Records,
    DeltaRequest,
    Delta,
    Busy,
    Applied,
    Summary,
    CrashReport,
    Call,
    Answer,
    Refusal,
    Cancel,
    OutcomeQuery,
    OutcomeReply,
    GoAway,
    Ping,
    Pong,
    Claim,
    ClaimReply,
    StoreOutcome,
    Release,
    RolloutReport,
    RolloutState,
    QuotaRequest,
    QuotaGrant,
]

# Features of `Hello` without which a peer can't read a message.
REQUIRED_FEATURES: dict[type, str] = {
    RolloutReport: "rollouts",
    RolloutState: "rollouts",
}

# Messages as they are sent; those without a last field are received with its default.
SentMessage = Message | PlainAnswer | PlainRefusal

_TYPE_BY_NUMBER: dict[int, Any] = {
    message_type.__struct_config__.tag: message_type
    for message_type in get_args(Message)
}

encode = msgspec.msgpack.encode


def decode(obj: Any) -> Message:
    """Convert an unpacked msgpack value to a message.

    Raises
    ------
    WireError
        The value is not a message; the error text names the invalid element.
    """
    has_number = isinstance(obj, list) and obj and isinstance(obj[0], int)
    # msgspec analyses a union again in each call, but caches the analysis of a struct.
    message_type = _TYPE_BY_NUMBER.get(obj[0], Message) if has_number else Message
    try:
        return msgspec.convert(obj, message_type)
    except msgspec.ValidationError as exc:
        raise WireError(str(exc)) from exc


def make_unpacker() -> msgpack.Unpacker:
    """Make a streaming unpacker that rejects messages over `MAX_MESSAGE_BYTES`."""
    return msgpack.Unpacker(
        use_list=True,
        raw=False,
        strict_map_key=True,
        max_buffer_size=MAX_MESSAGE_BYTES,
        # Initial size of the buffer; the default would allocate 1 MB for each link.
        read_size=UNPACK_BUFFER_BYTES,
    )
