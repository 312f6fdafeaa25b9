"""Commands that read and edit documents, with conditional writes."""

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
from lentilsill.versioning import format_position, parse_position

from .checks import read_document
from .exits import ExitCode

__all__ = [
    "SERVICE_KIND",
    "apply_document",
    "delete_document",
    "describe_error",
    "diff_document",
    "show_document",
]

SERVICE_KIND = "service"
# `get` prints this comment, from which `apply` reads the version that was edited.
_VERSION_COMMENT = re.compile(r"^\s*// version: (\d+(?:-\d+)?)\s*$", re.MULTILINE)

Echo = Callable[[str], None]


async def show_document(api: ObjectApi, service: str, echo: Echo) -> ExitCode:
    """Print a document, with its version in a comment that `apply` reads back."""
    match await api.get(SERVICE_KIND, service):
        case Ok(None):
            echo(f"{service}: no document")
            return ExitCode.NOT_FOUND
        case Ok(StoredObject(version=version, value=value)):
            echo(f"// version: {format_position(version)}\n{_format_document(value)}")
            return ExitCode.OK
        case Err(error):
            return _report_error(service, error, echo)
    raise AssertionError("unreachable")


@dataclass(frozen=True, slots=True)
class _Edit:
    """A valid document from a file, and the stored document of its service."""

    service: str
    value: Any
    stored: StoredObject | None


async def _read_edit(
    api: ObjectApi, text: str, source: str, echo: Echo
) -> _Edit | ExitCode:
    service, value, findings = read_document(text, source)
    if findings:
        for finding in findings:
            echo(str(finding))
        return ExitCode.INVALID
    match await api.get(SERVICE_KIND, service):
        case Err(error):
            return _report_error(service, error, echo)
        case Ok(stored):
            return _Edit(service, value, stored)
    raise AssertionError("unreachable")


async def apply_document(
    api: ObjectApi, text: str, source: str, base_version: int | None, echo: Echo
) -> ExitCode:
    """Write a document if the stored version is the one that was edited.

    Parameters
    ----------
    base_version : int or None
        Version that the edit is based on. If None, it is read from the comment
        that `get` prints; without the comment, it is the stored version.
    """
    edit = await _read_edit(api, text, source, echo)
    if isinstance(edit, ExitCode):
        return edit
    service, value, stored = edit.service, edit.value, edit.stored
    if stored is not None and stored.value == value:
        echo(f"{service}: unchanged at version {format_position(stored.version)}")
        return ExitCode.OK
    if base_version is None:
        base_version = _find_base_version(text, stored)
    match await api.put(SERVICE_KIND, service, value, base_version):
        case Ok(version):
            echo(f"{service}: written as version {format_position(version)}")
            return ExitCode.OK
        case Err(Conflict()):
            return await _show_conflict(api, service, base_version, value, echo)
        case Err(AnswerLost(reason)):
            echo(f"{service}: no answer to the write ({reason}); reading back")
            return await _resolve_write(api, service, base_version, value, echo)
        case Err(error):
            return _report_error(service, error, echo)
    raise AssertionError("unreachable")


async def diff_document(api: ObjectApi, text: str, source: str, echo: Echo) -> ExitCode:
    """Print what `apply` would change in the stored document."""
    edit = await _read_edit(api, text, source, echo)
    if isinstance(edit, ExitCode):
        return edit
    service, value, stored = edit.service, edit.value, edit.stored
    if stored is not None and stored.value == value:
        echo(f"{service}: same as version {format_position(stored.version)}")
        return ExitCode.OK
    stored_label = (
        f"version {format_position(stored.version)}" if stored else "no document"
    )
    _print_diff(
        stored, value, f"{service}, {stored_label}", f"{service}, {source}", echo
    )
    base_version = _find_base_version(text, stored)
    if base_version != (stored.version if stored else 0):
        echo(
            f"{service}: the file is an edit of version "
            f"{format_position(base_version)}: apply would conflict"
        )
    return ExitCode.DIFFERENT


async def delete_document(
    api: ObjectApi, service: str, base_version: int | None, echo: Echo
) -> ExitCode:
    """Delete a document if its stored version is `base_version`.

    If `base_version` is None, the version that is stored now is deleted.
    """
    match await api.get(SERVICE_KIND, service):
        case Err(error):
            return _report_error(service, error, echo)
        case Ok(None):
            echo(f"{service}: no document")
            return ExitCode.NOT_FOUND
        case Ok(StoredObject(version=version)):
            base_version = version if base_version is None else base_version
    assert base_version is not None
    match await api.delete(SERVICE_KIND, service, base_version):
        case Ok(revision):
            echo(f"{service}: deleted at revision {revision}")
            return ExitCode.OK
        case Err(Conflict()):
            return await _show_conflict(api, service, base_version, None, echo)
        case Err(AnswerLost(reason)):
            echo(f"{service}: no answer to the deletion ({reason}); reading back")
            return await _resolve_write(api, service, base_version, None, echo)
        case Err(Rejected(status=404)):
            echo(f"{service}: no document")
            return ExitCode.NOT_FOUND
        case Err(error):
            return _report_error(service, error, echo)
    raise AssertionError("unreachable")


async def _resolve_write(
    api: ObjectApi, service: str, base_version: int, value: Any, echo: Echo
) -> ExitCode:
    """Read the document to decide whether an unanswered write took effect.

    The write is never repeated: if the first write is only delayed, another
    operator's edit can come between the two, and the second would overwrite it.
    """
    match await api.get(SERVICE_KIND, service):
        case Err(error):
            echo(f"{service}: unknown whether it was written: {describe_error(error)}")
            echo(f"what to do: lentilsill get {service}, and compare")
            return ExitCode.UNKNOWN
        case Ok(None) if value is None:
            echo(f"{service}: deleted")
            return ExitCode.OK
        case Ok(StoredObject(version=version, value=current_value)) if (
            value is not None and version > base_version and current_value == value
        ):
            echo(f"{service}: written as version {format_position(version)}")
            return ExitCode.OK
        case Ok(stored) if (stored.version if stored else 0) == base_version:
            echo(
                f"{service}: not written; "
                f"the platform still holds version {format_position(base_version)}"
            )
            echo("what to do: run the command again; a late write shows as a conflict")
            return ExitCode.NOT_WRITTEN
    return await _resolve_by_changes(api, service, base_version, value, echo)


async def _resolve_by_changes(
    api: ObjectApi, service: str, base_version: int, value: Any, echo: Echo
) -> ExitCode:
    """Decide from the first change after `base_version` whether a write took effect.

    If that change is the write itself, the write took effect and the stored
    document is a later edit by another operator, which is not a conflict.
    """
    match await api.watch(SERVICE_KIND, base_version, 0.0):
        case Err(error):
            echo(f"{service}: unknown whether it was written: {describe_error(error)}")
            echo(f"what to do: lentilsill get {service}, and compare")
            return ExitCode.UNKNOWN
        case Ok(batch):
            service_changes = [
                change for change in batch.changes if change.name == service
            ]
    first_change = min(service_changes, key=lambda change: change.version, default=None)
    if first_change is not None and first_change.deleted == (value is None):
        first_label = format_position(first_change.version)
        if value is None:
            echo(f"{service}: deleted at revision {first_label}, and written since")
            return ExitCode.OK
        if first_change.value == value:
            echo(f"{service}: written as version {first_label}, and edited since")
            return ExitCode.OK
    return await _show_conflict(api, service, base_version, value, echo)


async def _show_conflict(
    api: ObjectApi, service: str, base_version: int, value: Any, echo: Echo
) -> ExitCode:
    match await api.get(SERVICE_KIND, service):
        case Err(error):
            return _report_error(service, error, echo)
        case Ok(stored):
            pass
    stored_label = (
        f"version {format_position(stored.version)}" if stored else "no document"
    )
    echo(
        f"{service}: conflict: edited version {format_position(base_version)}, "
        f"the platform holds {stored_label}"
    )
    edit_label = f"{service}, your edit of version {format_position(base_version)}"
    _print_diff(stored, value, f"{service}, {stored_label}", edit_label, echo)
    echo(
        f"what to do: lentilsill get {service} > FILE, make your change in FILE, "
        "lentilsill apply FILE"
    )
    return ExitCode.CONFLICT


def _print_diff(
    stored: StoredObject | None, value: Any, old_label: str, new_label: str, echo: Echo
) -> None:
    """Print the differences as a unified diff; a `value` of None is a deletion."""
    old_lines = _format_document(stored.value).splitlines() if stored else []
    new_lines = _format_document(value).splitlines() if value is not None else []
    for line in difflib.unified_diff(
        old_lines, new_lines, old_label, new_label, lineterm=""
    ):
        echo(line)


def _report_error(service: str, error: PlatformError, echo: Echo) -> ExitCode:
    echo(f"{service}: {describe_error(error)}")
    match error:
        case Rejected():
            return ExitCode.INVALID
        case _:
            return ExitCode.UNAVAILABLE


def describe_error(error: PlatformError) -> str:
    """Return the message that describes a platform error to the operator."""
    match error:
        case RateLimited(retry_after_s):
            return f"platform: too many calls, try again in {retry_after_s:g} s"
        case Conflict(current_version):
            current_label = format_position(current_version)
            return f"platform: conflict, current version {current_label}"
        case Rejected(status, reason):
            return f"platform: refused with status {status}: {reason}"
    return f"platform: {error}"


def _find_base_version(text: str, stored: StoredObject | None) -> int:
    match = _VERSION_COMMENT.search(text)
    if match:
        return parse_position(match.group(1))
    return stored.version if stored is not None else 0


def _format_document(value: Any) -> str:
    return json.dumps(value, indent=2, ensure_ascii=False)
