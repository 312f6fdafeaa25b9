"""Typed messages between nodes and their msgpack form.

A message is a msgpack array whose first element is the message number. Records
travel as rows (tuples); the package that owns a record converts it.
"""

from typing import Any, Union, get_args

import msgpack
import msgspec

__all__ = [
    "CALLS",
    "CONTROL",
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
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
    "OutcomeQuery",
    "OutcomeReply",
    "Ping",
    "Pong",
    "Probe",
    "ProbeAck",
    "Records",
    "Refusal",
    "Release",
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

CONTROL = "control"
CALLS = "calls"

# upstream, service, address, slots, labels, state, ready_at_ms
UpstreamRow = tuple[str, str, str, int, tuple[tuple[str, str], ...], int, int]
# node, domain, instance, generation, seq, peer_address, caller_address, state,
# upstreams, liveness verdict of the sender
NodeRow = tuple[str, str, str, int, int, str, str, int, tuple[UpstreamRow, ...], int]
# service, version, deleted, canonical JSON text of the document
DocumentRow = tuple[str, int, bool, str]
HeaderRow = tuple[str, str]


class WireError(Exception):
    """A peer sent bytes that are not a valid message."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First message in both directions of a link.

    `compression` lists the methods that the sender can read.
    """

    protocol_version: int
    node: str
    instance: str
    domain: str
    purpose: str
    peer_address: str
    compression: tuple[str, ...] = ()


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Constant-size summary of the sender's documents and node records."""

    complete_as_of: int
    documents_hash: int
    records_hash: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Liveness probe; carries the sender's digest and recent records."""

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
    """Asks the receiver to probe `node` at `address`."""

    probe_id: int
    address: str
    node: str = ""


class Records(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Node records of the sender's domain; `want_reply` asks for the receiver's.

    With `push`, the receiver passes on what is new to it, down the tree that is
    rooted at each record's node.

    Repair of different tables takes three messages: the hashes of all buckets
    (`table`) of the first node; the numbers of the differing `buckets` and the
    hashes of the records in them (`hashes`) of the second; the records that
    these lack, with the `hashes` that the first node lacks itself. The second
    then answers with the records of these. `summaries` lists (domain,
    generation, content hash); the receiver sends the summaries that are newer.
    """

    rows: tuple[NodeRow, ...]
    want_reply: bool = False
    push: bool = False
    table: tuple[int, ...] = ()
    buckets: tuple[int, ...] = ()
    hashes: tuple[int, ...] = ()
    summaries: tuple[tuple[str, int, int], ...] = ()


class DeltaRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks for documents changed after `complete_as_of`."""

    complete_as_of: int


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Documents changed after `base`, complete up to `complete_as_of`.

    With `full`, the rows are all documents and `base` is 0. `root` names the
    node at the root of the tree that a push travels down; it is empty in the
    answer to a `DeltaRequest`.
    """

    base: int
    complete_as_of: int
    full: bool
    rows: tuple[DocumentRow, ...]
    root: str = ""


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The receiver of a `DeltaRequest` serves too many full syncs now."""

    retry_after_ms: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The sender has applied all documents up to `revision`.

    `in_force` lists (service, version) pairs in force at the sender.
    """

    revision: int
    in_force: tuple[tuple[str, int], ...] = ()


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Summary of a domain for other domains.

    `nodes` holds the records of the nodes that host the named upstreams, and
    `totals` holds (service, ready upstreams, slots). `root` is as in `Delta`.
    With `partial`, only what differs from an older summary is given, with the
    names of nodes that are `gone`; a service without ready upstreams has a
    total of 0. The result must have `content_hash`.
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
    """Crashes counted against request fingerprints, with expiry.

    Rows are (fingerprint, crashes, remaining lifetime in ms). `root` is as in
    `Delta`; `want_reply` asks for the receiver's rows.
    """

    rows: tuple[tuple[str, int, int], ...]
    root: str = ""
    want_reply: bool = False


class Call(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A call for one upstream of the receiver.

    `call_id` is unique per (sender instance, attempt). `deadline_ms` is the
    time that remains. `document_version` is the version the sender routed by.
    The sender needs no record of calls with ids up to `settled` any more; the
    receiver drops those records and refuses such ids if they arrive late.
    `attempt` holds the claim of `request_key`; it is empty without a claim.
    `attempt_id` is the caller's name of its attempt. `priority` and
    `objective_ms` rank the call among those that wait, the latter counted from
    its arrival; 0 stands for the deadline. `is_suspect` tells that an upstream
    died while it ran this call.
    """

    call_id: int
    upstream: str
    method: str
    path: str
    headers: tuple[HeaderRow, ...]
    body: bytes
    deadline_ms: int
    idempotent: bool
    request_key: str
    service: str
    document_version: int
    settled: int = -1
    attempt: str = ""
    attempt_id: str = ""
    route: str = ""
    priority: int = 0
    objective_ms: int = 0
    is_suspect: bool = False


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The upstream's answer; `body_length` is checked against `body`.

    `load` is the time in ms that a new call is expected to take there.
    """

    call_id: int
    status: int
    headers: tuple[HeaderRow, ...]
    body: bytes
    body_length: int
    load: int


class Refusal(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """No answer for a call; `outcome` is a value of `outcomes.Outcome`.

    `retry_after_s` is when the call may succeed, 0 when that is not known, and
    `arrived` tells that the call was sent to the upstream.
    """

    call_id: int
    outcome: str
    reason: str
    load: int
    retry_after_s: float = 0.0
    arrived: bool = False


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """The caller no longer waits for the call."""

    call_id: int


class OutcomeQuery(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Asks over a new link what became of calls of `instance`."""

    instance: str
    call_ids: tuple[int, ...]


class OutcomeReply(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """State of one call: ``running``, ``never_seen`` or ``forgotten``.

    A finished call is answered with its `Answer` or `Refusal` instead. An
    unknown call id is fenced before ``never_seen`` is sent.
    """

    call_id: int
    state: str


class GoAway(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """The sender drains: new calls on this link will be refused."""

    reason: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Checks that a link still carries bytes."""

    token: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Answer to `Ping`."""

    token: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Asks a replica of `request_key` to grant it to `attempt`."""

    request_id: int
    request_key: str
    attempt: str
    fingerprint: str


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Answer of a replica: granted, or the record that it holds.

    `state` is ``granted``, ``held`` (another attempt, no outcome yet),
    ``finished`` (answer in the other fields), or ``refused`` (`reason`).
    """

    request_id: int
    state: str
    reason: str = ""
    holder: str = ""
    outcome: str = ""
    status: int = 0
    headers: tuple[HeaderRow, ...] = ()
    body: bytes = b""


class StoreOutcome(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """Stores the outcome of the attempt that holds the key."""

    request_key: str
    attempt: str
    outcome: str
    status: int
    headers: tuple[HeaderRow, ...]
    body: bytes


class Release(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """The attempt is proved not run; another attempt may be granted."""

    request_key: str
    attempt: str


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
]

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
        The value is no message; the text names the offending element.
    """
    known = isinstance(obj, list) and obj and isinstance(obj[0], int)
    # msgspec analyses a union anew in each call, but keeps that of a struct.
    message_type = _TYPE_BY_NUMBER.get(obj[0], Message) if known else Message
    try:
        return msgspec.convert(obj, message_type)
    except msgspec.ValidationError as exc:
        raise WireError(str(exc)) from exc


def make_unpacker() -> msgpack.Unpacker:
    """Make a streaming unpacker that refuses messages over the size limit."""
    return msgpack.Unpacker(
        use_list=True,
        raw=False,
        strict_map_key=True,
        max_buffer_size=MAX_MESSAGE_BYTES,
        # Size of the first buffer; the default of 1 MB is allocated per link.
        read_size=UNPACK_BUFFER_BYTES,
    )
