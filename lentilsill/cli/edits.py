"""Edits of documents: conditional writes with readable conflicts."""

import difflib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from lentilsill.platform import (
    AnswerLost,
    Conflict,
    ObjectApi,
    PlatformError,
    RateLimited,
    Rejected,
    StoredObject,
)

from .checks import read_document
from .exits import ExitCode

__all__ = [
    "KIND",
    "apply_document",
    "delete_document",
    "describe",
    "diff_document",
    "show_document",
]

KIND = "service"
# `get` writes this line, so that `apply` knows which version was edited.
_BASE_LINE = re.compile(r"^\s*// version: (\d+)\s*$", re.MULTILINE)

Say = Callable[[str], None]


async def show_document(api: ObjectApi, service: str, say: Say) -> ExitCode:
    """Print a document with the version that an edit of it is based on."""
    match await api.get(KIND, service):
        case Ok(None):
            say(f"{service}: no document")
            return ExitCode.NOT_FOUND
        case Ok(StoredObject(version=version, value=value)):
            say(f"// version: {version}\n{_text(value)}")
            return ExitCode.OK
        case Err(error):
            return _failed(service, error, say)
    raise AssertionError("unreachable")


@dataclass(frozen=True, slots=True)
class _Edit:
    """A valid document of a file, and what the platform holds of the service."""

    service: str
    value: Any
    stored: StoredObject | None


async def _read_edit(
    api: ObjectApi, text: str, source: str, say: Say
) -> _Edit | ExitCode:
    service, value, findings = read_document(text, source)
    if findings:
        for finding in findings:
            say(str(finding))
        return ExitCode.INVALID
    match await api.get(KIND, service):
        case Err(error):
            return _failed(service, error, say)
        case Ok(stored):
            return _Edit(service, value, stored)
    raise AssertionError("unreachable")


async def apply_document(
    api: ObjectApi, text: str, source: str, base: int | None, say: Say
) -> ExitCode:
    """Write a document if its stored version is the one that was edited.

    Parameters
    ----------
    base : int or None
        Version that the edit is based on. None takes it from the line that
        `get` writes, or else the version that the platform holds now.
    """
    edit = await _read_edit(api, text, source, say)
    if isinstance(edit, ExitCode):
        return edit
    service, value, stored = edit.service, edit.value, edit.stored
    if stored is not None and stored.value == value:
        say(f"{service}: unchanged at version {stored.version}")
        return ExitCode.OK
    if base is None:
        base = _base_version(text, stored)
    match await api.put(KIND, service, value, base):
        case Ok(version):
            say(f"{service}: written as version {version}")
            return ExitCode.OK
        case Err(Conflict()):
            return await _show_conflict(api, service, base, value, say)
        case Err(AnswerLost(reason)):
            say(f"{service}: no answer to the write ({reason}); reading back")
            return await _resolve_write(api, service, base, value, say)
        case Err(error):
            return _failed(service, error, say)
    raise AssertionError("unreachable")


async def diff_document(api: ObjectApi, text: str, source: str, say: Say) -> ExitCode:
    """Print what `apply` of a document would change."""
    edit = await _read_edit(api, text, source, say)
    if isinstance(edit, ExitCode):
        return edit
    service, value, stored = edit.service, edit.value, edit.stored
    if stored is not None and stored.value == value:
        say(f"{service}: same as version {stored.version}")
        return ExitCode.OK
    current = f"version {stored.version}" if stored else "no document"
    _say_diff(stored, value, f"{service}, {current}", f"{service}, {source}", say)
    base = _base_version(text, stored)
    if base != (stored.version if stored else 0):
        say(f"{service}: the file is an edit of version {base}: apply would conflict")
    return ExitCode.DIFFERENT


async def delete_document(
    api: ObjectApi, service: str, base: int | None, say: Say
) -> ExitCode:
    """Delete a document if its stored version is `base` (None: as read now)."""
    match await api.get(KIND, service):
        case Err(error):
            return _failed(service, error, say)
        case Ok(None):
            say(f"{service}: no document")
            return ExitCode.NOT_FOUND
        case Ok(StoredObject(version=version)):
            base = version if base is None else base
    assert base is not None
    match await api.delete(KIND, service, base):
        case Ok(revision):
            say(f"{service}: deleted at revision {revision}")
            return ExitCode.OK
        case Err(Conflict()):
            return await _show_conflict(api, service, base, None, say)
        case Err(AnswerLost(reason)):
            say(f"{service}: no answer to the deletion ({reason}); reading back")
            return await _resolve_write(api, service, base, None, say)
        case Err(Rejected(status=404)):
            say(f"{service}: no document")
            return ExitCode.NOT_FOUND
        case Err(error):
            return _failed(service, error, say)
    raise AssertionError("unreachable")


async def _resolve_write(
    api: ObjectApi, service: str, base: int, value: Any, say: Say
) -> ExitCode:
    """Decide by reading whether a write without an answer took effect.

    The write is never repeated: a late first write and a second one could
    enclose another operator's edit.
    """
    match await api.get(KIND, service):
        case Err(error):
            say(f"{service}: unknown whether it was written: {describe(error)}")
            say(f"what to do: lentilsill get {service}, and compare")
            return ExitCode.UNKNOWN
        case Ok(None) if value is None:
            say(f"{service}: deleted")
            return ExitCode.OK
        case Ok(StoredObject(version=version, value=found)) if (
            value is not None and version > base and found == value
        ):
            say(f"{service}: written as version {version}")
            return ExitCode.OK
        case Ok(stored) if (stored.version if stored else 0) == base:
            say(f"{service}: not written; the platform still holds version {base}")
            say("what to do: run the command again; a late write shows as a conflict")
            return ExitCode.NOT_WRITTEN
    return await _resolve_by_changes(api, service, base, value, say)


async def _resolve_by_changes(
    api: ObjectApi, service: str, base: int, value: Any, say: Say
) -> ExitCode:
    """Decide by the first change after `base`, which others were based on.

    The document that is read back may be another operator's edit of a write that
    took effect; this is no conflict.
    """
    match await api.watch(KIND, base, 0.0):
        case Err(error):
            say(f"{service}: unknown whether it was written: {describe(error)}")
            say(f"what to do: lentilsill get {service}, and compare")
            return ExitCode.UNKNOWN
        case Ok(batch):
            own = [change for change in batch.changes if change.name == service]
    first = min(own, key=lambda change: change.version, default=None)
    if first is not None and first.deleted == (value is None):
        if value is None:
            say(f"{service}: deleted at revision {first.version}, and written since")
            return ExitCode.OK
        if first.value == value:
            say(f"{service}: written as version {first.version}, and edited since")
            return ExitCode.OK
    return await _show_conflict(api, service, base, value, say)


async def _show_conflict(
    api: ObjectApi, service: str, base: int, value: Any, say: Say
) -> ExitCode:
    match await api.get(KIND, service):
        case Err(error):
            return _failed(service, error, say)
        case Ok(stored):
            pass
    current = f"version {stored.version}" if stored else "no document"
    say(f"{service}: conflict: edited version {base}, the platform holds {current}")
    yours = f"{service}, your edit of version {base}"
    _say_diff(stored, value, f"{service}, {current}", yours, say)
    say(
        f"what to do: lentilsill get {service} > FILE, make your change in FILE, "
        "lentilsill apply FILE"
    )
    return ExitCode.CONFLICT


def _say_diff(
    stored: StoredObject | None, value: Any, old: str, new: str, say: Say
) -> None:
    """Print the differences; a value of None is a deletion."""
    before = _text(stored.value).splitlines() if stored else []
    after = _text(value).splitlines() if value is not None else []
    for line in difflib.unified_diff(before, after, old, new, lineterm=""):
        say(line)


def _failed(service: str, error: PlatformError, say: Say) -> ExitCode:
    say(f"{service}: {describe(error)}")
    match error:
        case Rejected():
            return ExitCode.INVALID
        case _:
            return ExitCode.UNAVAILABLE


def describe(error: PlatformError) -> str:
    """Give a platform error in words."""
    match error:
        case RateLimited(retry_after_s):
            return f"platform: too many calls, try again in {retry_after_s:g} s"
        case Conflict(current_version):
            return f"platform: conflict, current version {current_version}"
        case Rejected(status, reason):
            return f"platform: refused with status {status}: {reason}"
    return f"platform: {error}"


def _base_version(text: str, stored: StoredObject | None) -> int:
    match = _BASE_LINE.search(text)
    if match:
        return int(match.group(1))
    return stored.version if stored is not None else 0


def _text(value: Any) -> str:
    return json.dumps(value, indent=2, ensure_ascii=False)
