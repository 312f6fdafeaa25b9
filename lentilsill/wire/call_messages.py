"""Messages about calls, their outcomes and request keys.

The module `messages` describes the encoding.
"""

import msgspec

__all__ = [
    "Answer",
    "Call",
    "Cancel",
    "Claim",
    "ClaimReply",
    "GoAway",
    "HeaderRow",
    "NoticeRow",
    "OutcomeQuery",
    "OutcomeReply",
    "Ping",
    "PlainAnswer",
    "PlainRefusal",
    "Pong",
    "QuotaGrant",
    "QuotaRequest",
    "Refusal",
    "Release",
    "StoreOutcome",
]

HeaderRow = tuple[str, str]


class NoticeRow(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream last said about itself, as the sender knows it.

    `limit_per_s` is the number of calls a second that it takes from all nodes
    together, negative if it names none. `age_ms` is the time since it said so, and
    `started_ms` the start of its process in ms since the epoch, 0 if unknown.
    `is_leaving` states that it leaves.
    """

    limit_per_s: float = -1.0
    age_ms: int = 0
    started_ms: int = 0
    is_leaving: bool = False


class Call(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A call for one upstream of the receiver.

    `call_id` is unique per (sender instance, attempt). `deadline_ms` is the time that
    remains until the deadline. `document_version` is the version of the document that
    the sender used for routing. The sender no longer needs records of calls with ids
    up to `settled`; the receiver drops those records and refuses calls with such ids
    if they arrive late. `attempt` is the attempt that holds the claim on
    `request_key`; it is empty without a claim. `attempt_id` is the caller's own id of
    its attempt. `priority` and `objective_ms` rank the call in the queue; the
    objective counts from the call's arrival, and 0 stands for the deadline.
    `is_suspect` states that an upstream died while it ran this call. With
    `only_if_free`, the receiver refuses the call if it would have to wait. `notice` is
    what the sender has heard from the upstream before, if that restricts its calls.
    `organisation` names the caller's organisation; it is empty without one.
    `organisation_weight` is the organisation's weight among others that compete for
    slots, and 0 if all weigh the same. `waiting_services` are the services with running
    calls that wait for this call; empty if no running call has made it.
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
    only_if_free: bool = False
    notice: NoticeRow | None = None
    organisation: str = ""
    organisation_weight: float = 0.0
    waiting_services: tuple[str, ...] = ()


class PlainAnswer(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The upstream's answer; `body_length` is checked against `body`.

    `load` is the time in ms that a new call is expected to take at that upstream.
    `notice` is what the upstream last said, if it ever restricted its calls. Nodes
    without `calls.even_load` send this form, and all of them receive `Answer`.
    """

    call_id: int
    status: int
    headers: tuple[HeaderRow, ...]
    body: bytes
    body_length: int
    load: int
    notice: NoticeRow | None = None


class Answer(PlainAnswer, frozen=True, array_like=True, tag=21):
    """Answer with the load of the upstream.

    `busy_percent` is the number of calls that run or wait there, in percent of its
    slots; negative if the sender doesn't report it.
    """

    busy_percent: int = -1


class PlainRefusal(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """End of a call without an answer; `outcome` is a value of `outcomes.Outcome`.

    `retry_after_s` is the time after which the call may succeed, or 0 when it is not
    known. `arrived` states that the call was sent to the upstream. `notice` is as in
    `PlainAnswer`. Nodes without `calls.even_load` send this form, and all of them
    receive `Refusal`.
    """

    call_id: int
    outcome: str
    reason: str
    load: int
    retry_after_s: float = 0.0
    arrived: bool = False
    notice: NoticeRow | None = None


class Refusal(PlainRefusal, frozen=True, array_like=True, tag=22):
    """Refusal with the load of the upstream; `busy_percent` is as in `Answer`."""

    busy_percent: int = -1


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """The caller no longer waits for the call."""

    call_id: int


class OutcomeQuery(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Request, over a new link, for the outcomes of calls that `instance` sent."""

    instance: str
    call_ids: tuple[int, ...]


class OutcomeReply(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """State of one call: ``running``, ``never_seen`` or ``forgotten``.

    For a finished call, its `Answer` or `Refusal` is sent instead. An unknown call id
    is fenced before ``never_seen`` is sent, so that a call with this id is refused if
    it arrives later.
    """

    call_id: int
    state: str


class GoAway(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """The sender is draining and will refuse new calls on this link."""

    reason: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Request for a `Pong`, to check that a link still carries bytes."""

    token: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Answer to `Ping`."""

    token: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Request to a replica of `request_key` to grant the claim on it to `attempt`."""

    request_id: int
    request_key: str
    attempt: str
    fingerprint: str


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Answer of a replica to `Claim`: a grant, or the record that it holds.

    `state` is ``granted``, ``held`` (by another attempt without an outcome yet),
    ``finished`` (the other fields hold the outcome), or ``refused`` (for `reason`).
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
    """Request to store the outcome of the attempt that holds the claim on the key."""

    request_key: str
    attempt: str
    outcome: str
    status: int
    headers: tuple[HeaderRow, ...]
    body: bytes


class Release(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """The attempt is proved not to have run; another may be granted the claim."""

    request_key: str
    attempt: str


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Shares of quotas that the sender lends, and its request for tokens.

    `seq` increases with each request of the sender's process. `node_count` is the
    number of nodes that the sender knows, and `version` that of its configuration. Rows
    of `pledges` are (shard, time stamp of the receiver in us, lease in ms), and those
    of `asks` (organisation, calls a second, burst, tokens needed now, tokens to be used
    soon, tokens to be held). The pledges of `first_shards` are the first ones ever of
    their node. Sent only to peers with the feature `quotas`.
    """

    seq: int
    node_count: int
    version: int
    pledges: tuple[tuple[int, int, int], ...] = ()
    asks: tuple[tuple[str, float, float, int, int, int], ...] = ()
    first_shards: tuple[int, ...] = ()


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """Answer to the `QuotaRequest` with this `seq`.

    `stamp_us` is the time of the sender's clock in us. `grants` has a row (tokens,
    tokens to be held, ms until there are more) for each row of `asks`.
    """

    seq: int
    stamp_us: int
    grants: tuple[tuple[int, int, int], ...] = ()
