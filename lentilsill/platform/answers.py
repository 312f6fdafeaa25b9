"""Answers of the platform's object API, and what can be read of them."""

import math
import re
from dataclasses import dataclass
from typing import Any, TypeVar

import structlog
from pydantic import BaseModel, Field, ValidationError
from result import Err, Ok, Result
from tornado.httpclient import HTTPResponse

from lentilsill.versioning import MAX_REVISION

from .model import (
    AnswerLost,
    Compacted,
    Conflict,
    PlatformError,
    RateLimited,
    Rejected,
    Unavailable,
)

__all__ = [
    "EventBody",
    "ListBody",
    "ObjectBody",
    "Page",
    "WatchBody",
    "check_status",
    "describe_response",
    "parse",
    "parse_page",
    "parse_write",
    "transfer_time_s",
]

DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
MAX_ERROR_CHARS = 500
# Strings and brackets; the structure of a text follows from these alone.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_NAME = re.compile(rb'"name"\s*:\s*"([^"\\]{1,200})"')

log = structlog.get_logger()


class _Metadata(BaseModel):
    name: str
    revision: int = Field(ge=0, le=MAX_REVISION)
    deleting: bool = False
    created: Any = None


class ObjectBody(BaseModel):
    """An object; `spec` holds the value that users of this client write."""

    metadata: _Metadata
    spec: Any = None
    status: Any = None


class ListBody(BaseModel):
    """A page of a listing."""

    items: tuple[ObjectBody, ...]
    has_more: bool = False
    store_revision: int = Field(ge=0, le=MAX_REVISION)


class EventBody(BaseModel):
    """A change of an object."""

    object: ObjectBody
    deleted: bool = False


class WatchBody(BaseModel):
    """Answer to a watch."""

    events: tuple[EventBody, ...]
    store_revision: int = Field(ge=0, le=MAX_REVISION)


Body = TypeVar("Body", bound=BaseModel)
Page = TypeVar("Page", ListBody, WatchBody)
# Field with the entries of each model of a list, and the model of an entry.
_ENTRIES: dict[type[BaseModel], tuple[str, type[BaseModel]]] = {
    ListBody: ("items", ObjectBody),
    WatchBody: ("events", EventBody),
}


def parse(model: type[Body], body: bytes) -> Result[Body, str]:
    """Parse an answer; the error names what is wrong with it."""
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError as exc:
        return Err("invalid answer of the platform: " + _describe_errors(exc))


def parse_page(model: type[Page], body: bytes) -> Result[Page, PlatformError]:
    """Parse an answer that is a list of entries.

    An entry that can't be read is left out and named in a log line; other writers
    than the nodes write entries too.
    """
    whole = parse(model, body).map_err(Unavailable)
    field, entry_model = _ENTRIES[model]
    spans = None if whole.is_ok() else _find_entries(field.encode(), body)
    if spans is None:
        return whole
    head = parse(model, body[: spans.start] + body[spans.end :])
    if head.is_err():
        return whole
    entries = []
    for start, end in spans.entries:
        text = body[start:end]
        try:
            entries.append(entry_model.model_validate_json(text))
        except ValidationError as exc:
            name = _NAME.search(text)
            log.warning(
                "entry_unreadable",
                name=name[1].decode("utf-8", "replace") if name else "",
                size=len(text),
                error=_describe_errors(exc),
            )
    page = head.unwrap()
    return Ok(page.model_copy(update={field: tuple(entries)}))


@dataclass(frozen=True, slots=True)
class _Spans:
    """Start and end of the content of a list in a text, and of each of its entries."""

    start: int
    end: int
    entries: list[tuple[int, int]]


def _find_entries(field: bytes, body: bytes) -> _Spans | None:
    """Find the list `field` of a JSON object; None if it has none.

    Works through the text without recursion, however deeply an entry is nested.
    """
    depth = 0
    last_key = b""
    list_start = -1
    start = 0
    entries = []
    for match in _TOKEN.finditer(body):
        token = match[0]
        if token in b"[{":
            if depth == 1 and token == b"[" and last_key == field:
                list_start = match.end()
            elif depth == 2 and list_start >= 0:
                start = match.start()
            depth += 1
        elif token in b"]}":
            depth -= 1
            if depth == 2 and list_start >= 0:
                entries.append((start, match.end()))
            elif depth == 1 and list_start >= 0:
                return _Spans(list_start, match.start(), entries)
        elif depth == 1:
            last_key = token[1:-1]
    return None


def check_status(resp: HTTPResponse) -> Result[HTTPResponse, PlatformError]:
    """Return the error that the status of an answer stands for, if any.

    A status that says neither what was done nor what is wrong counts as no answer.
    """
    match resp.code:
        case 200 | 201 | 204:
            return Ok(resp)
        case code if not 300 <= code <= 499:
            return Err(AnswerLost(describe_response(resp)))
        case 409:
            return _parse_conflict(resp)
        case 410:
            return Err(Compacted())
        case 429:
            return Err(RateLimited(_retry_after_s(resp)))
        case code:
            return Err(Rejected(code, describe_response(resp)))


def transfer_time_s(resp: HTTPResponse) -> float:
    """Return the time from the first to the last byte of the answer, in seconds."""
    times = resp.time_info
    return max(0.0, times.get("total", 0.0) - times.get("starttransfer", 0.0))


def parse_write(resp: HTTPResponse) -> Result[int, PlatformError]:
    """Return the revision of a write, 0 for a deletion whose answer has no body."""
    if resp.request.method == "DELETE" and not resp.body:
        return Ok(0)
    # Like a lost answer, an unreadable one does not show whether the write took effect.
    parsed = parse(ObjectBody, resp.body)
    return parsed.map(lambda body: body.metadata.revision).map_err(AnswerLost)


def describe_response(resp: HTTPResponse) -> str:
    """Return status and begin of an answer, for a log line."""
    text = resp.body[:200].decode("utf-8", "replace")
    return f"status {resp.code}: {text}"


def _parse_conflict(resp: HTTPResponse) -> Result[HTTPResponse, PlatformError]:
    match parse(ObjectBody, resp.body):
        case Ok(body):
            return Err(Conflict(body.metadata.revision))
        case Err(reason):
            return Err(Rejected(resp.code, reason))


def _retry_after_s(resp: HTTPResponse) -> float:
    try:
        retry_after_s = float(resp.headers.get("Retry-After", ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(retry_after_s):
        return DEFAULT_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))


def _describe_errors(exc: ValidationError) -> str:
    problems = (
        f"{'.'.join(str(part) for part in error['loc']) or 'body'}: {error['msg']}"
        for error in exc.errors(include_url=False, include_input=False)
    )
    return "; ".join(problems)[:MAX_ERROR_CHARS]
