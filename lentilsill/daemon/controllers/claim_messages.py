"""Conversion of claim answers and results to messages and platform values."""

import base64
import binascii
from typing import Any

from lentilsill.outcomes import (
    Answer,
    CallResult,
    ClaimAnswer,
    ClaimGranted,
    Finished,
    HeldBy,
    NotGranted,
    Outcome,
    Refused,
    is_answer_status,
)
from lentilsill.wire.messages import ClaimReply, StoreOutcome

__all__ = [
    "answer_from_reply",
    "reply_from_answer",
    "result_from_store",
    "result_from_value",
    "store_message",
    "value_from_result",
]


def reply_from_answer(request_id: int, answer: ClaimAnswer) -> ClaimReply:
    """Convert an answer to a message.

    The `outcome` of a refusal is ``not_run`` when the replica neither holds nor has
    forgotten a claim of the key.
    """
    match answer:
        case ClaimGranted():
            return ClaimReply(request_id, "granted")
        case HeldBy(holder):
            return ClaimReply(request_id, "held", holder=holder)
        case Finished(Answer(status, headers, body)):
            return ClaimReply(
                request_id, "finished", status=status, headers=headers, body=body
            )
        case Finished(Refused(outcome, reason)):
            return ClaimReply(request_id, "finished", reason, outcome=outcome.value)
        case NotGranted(reason, has_no_claim):
            outcome = Outcome.NOT_RUN if has_no_claim else Outcome.UNKNOWN
            return ClaimReply(request_id, "refused", reason, outcome=outcome.value)
    raise TypeError(f"not a claim answer: {answer!r}")


def answer_from_reply(reply: ClaimReply) -> ClaimAnswer:
    """Convert a message to an answer; a message not understood is a refusal."""
    match reply.state:
        case "granted":
            return ClaimGranted()
        case "held":
            return HeldBy(reply.holder)
        case "finished":
            result = _make_result(
                reply.outcome, reply.reason, reply.status, reply.headers, reply.body
            )
            if result is not None:
                return Finished(result)
    has_no_claim = reply.state == "refused" and reply.outcome == Outcome.NOT_RUN
    return NotGranted(reply.reason or "bad reply of a replica", has_no_claim)


def store_message(request_key: str, attempt: str, result: CallResult) -> StoreOutcome:
    """Convert a result to a message; the body carries the reason of a refusal."""
    match result:
        case Answer(status, headers, body):
            return StoreOutcome(request_key, attempt, "", status, headers, body)
        case Refused(outcome, reason):
            return StoreOutcome(
                request_key, attempt, outcome.value, 0, (), reason.encode()
            )
    raise TypeError(f"not a call result: {result!r}")


def result_from_store(message: StoreOutcome) -> CallResult | None:
    """Convert a message to a result, or None when its outcome is unknown."""
    reason = message.body.decode(errors="replace") if message.outcome else ""
    return _make_result(
        message.outcome, reason, message.status, message.headers, message.body
    )


def value_from_result(result: CallResult) -> dict[str, Any]:
    """Return the JSON value of a result."""
    match result:
        case Answer(status, headers, body):
            return {
                "status": status,
                "headers": [list(pair) for pair in headers],
                "body": base64.b64encode(body).decode(),
            }
        case Refused(outcome, reason):
            return {"outcome": outcome.value, "reason": reason}
    raise TypeError(f"not a call result: {result!r}")


def result_from_value(value: Any) -> CallResult | None:
    """Parse the JSON value of a result; None when it is malformed."""
    try:
        if "outcome" in value:
            return Refused(Outcome(value["outcome"]), str(value["reason"]))
        headers = tuple((str(name), str(text)) for name, text in value["headers"])
        body = base64.b64decode(value["body"], validate=True)
        status = int(value["status"])
        return Answer(status, headers, body) if is_answer_status(status) else None
    except (KeyError, TypeError, ValueError, binascii.Error):
        return None


def _make_result(
    outcome: str,
    reason: str,
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> CallResult | None:
    if not outcome:
        is_answer = is_answer_status(status)
        return Answer(status, tuple(headers), body) if is_answer else None
    try:
        return Refused(Outcome(outcome), reason)
    except ValueError:
        return None
