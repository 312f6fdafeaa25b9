"""Status of the configuration as reported by the domains."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime

from pydantic import BaseModel, Field, ValidationError
from result import Err, Ok

from lentilsill.platform import Compacted, ObjectApi, StoredObject

from .edits import describe
from .exits import ExitCode

__all__ = ["Target", "print_status", "wait_for", "watch_status"]

STATUS_KIND = "status"
WATCH_S = 30.0
RETRY_S = 0.5
HEADINGS = ("DOMAIN", "SERVICE", "ACCEPTED", "IN FORCE", "NODES", "UPDATED (UTC)")

Say = Callable[[str], None]


class _Rejected(BaseModel):
    version: int
    findings: list[str] = Field(default_factory=list)


class _Held(BaseModel):
    version: int
    reasons: list[str] = Field(default_factory=list)


class _Service(BaseModel):
    accepted: int | None = None
    in_force: int | None = None
    nodes_in_force: int = 0
    rejected: list[_Rejected] = Field(default_factory=list)
    held: list[_Held] = Field(default_factory=list)


class _Domain(BaseModel):
    domain: str
    revision: int = 0
    updated_at_ms: int = 0
    nodes: int = 0
    services: dict[str, _Service] = Field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Target:
    """A version of a service to wait for.

    Examples
    --------
    >>> Target.parse("slots@12")
    Target(service='slots', version=12)
    """

    service: str
    version: int

    @classmethod
    def parse(cls, text: str) -> "Target":
        """Read the form ``SERVICE@VERSION``; raises ValueError."""
        service, mark, version = text.partition("@")
        if not (service and mark and version.isdigit()):
            raise ValueError(f"{text}: must be SERVICE@VERSION")
        return cls(service, int(version))


async def print_status(api: ObjectApi, as_json: bool, say: Say) -> ExitCode:
    """Print the status objects of all domains once."""
    match await api.list(STATUS_KIND):
        case Err(error):
            say(describe(error))
            return ExitCode.UNAVAILABLE
        case Ok(listing):
            _print(listing.objects, as_json, say)
    return ExitCode.OK


async def watch_status(api: ObjectApi, as_json: bool, say: Say) -> ExitCode:
    """Print the status after each change, until interrupted."""
    objects: dict[str, StoredObject] = {}
    revision: int | None = None
    while True:
        revision = await _follow(api, objects, revision, WATCH_S, say)
        if revision is not None:
            _print(tuple(objects.values()), as_json, say)


async def wait_for(
    api: ObjectApi, target: Target, domains: list[str], bound_s: float, say: Say
) -> ExitCode:
    """Wait until every node of the domains has the version in force.

    Parameters
    ----------
    domains : list of str
        Domains that must report; when empty, all that do.
    bound_s : float
        Bound on the wait, in seconds.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + bound_s
    objects: dict[str, StoredObject] = {}
    revision: int | None = None
    while (left_s := end - loop.time()) > 0:
        bound_left_s = min(left_s, WATCH_S)
        revision = await _follow(api, objects, revision, bound_left_s, say)
        reports = [r for r in map(_read, objects.values()) if isinstance(r, _Domain)]
        rejected = _rejections(reports, target)
        if rejected:
            for line in rejected:
                say(line)
            return ExitCode.REJECTED
        if not _missing(reports, target, domains):
            say(f"{target.service}: version {target.version} is in force everywhere")
            return ExitCode.OK
    reports = [r for r in map(_read, objects.values()) if isinstance(r, _Domain)]
    for line in _missing(reports, target, domains):
        say(line)
    say(f"{target.service}: version {target.version} not everywhere in {bound_s:g} s")
    return ExitCode.TIMEOUT


async def _follow(
    api: ObjectApi,
    objects: dict[str, StoredObject],
    revision: int | None,
    timeout_s: float,
    say: Say,
) -> int | None:
    """Bring `objects` up to date; give the revision, or None after a failure."""
    if revision is None:
        match await api.list(STATUS_KIND):
            case Ok(listing):
                objects.clear()
                objects.update((obj.name, obj) for obj in listing.objects)
                return listing.revision
            case Err(error):
                say(describe(error))
                await asyncio.sleep(min(RETRY_S, timeout_s))
                return None
    match await api.watch(STATUS_KIND, revision, timeout_s):
        case Ok(batch):
            for obj in batch.changes:
                if obj.deleted:
                    objects.pop(obj.name, None)
                else:
                    objects[obj.name] = obj
            return batch.revision
        case Err(Compacted()):
            return None
        case Err(error):
            say(describe(error))
            await asyncio.sleep(min(RETRY_S, timeout_s))
    return None


def _read(obj: StoredObject) -> _Domain | str:
    try:
        return _Domain.model_validate(obj.value)
    except ValidationError as exc:
        error = exc.errors()[0]
        place = ".".join(str(part) for part in error["loc"])
        return f"status/{obj.name}: {place}: {error['msg']}"


def _missing(reports: list[_Domain], target: Target, domains: list[str]) -> list[str]:
    """Name what still differs from the target, one line per domain."""
    by_name = {report.domain: report for report in reports}
    lines = []
    for name in domains or sorted(by_name) or ["no domain"]:
        report = by_name.get(name)
        if report is None:
            lines.append(f"{name}: has not reported")
            continue
        entry = report.services.get(target.service, _Service())
        reached = (entry.in_force or 0) >= target.version
        if not reached or entry.nodes_in_force < max(report.nodes, 1):
            lines.append(
                f"{name}: {target.service} in force: {entry.in_force or '-'} "
                f"on {entry.nodes_in_force} of {report.nodes} nodes"
            )
    return lines


def _rejections(reports: list[_Domain], target: Target) -> list[str]:
    return [
        f"{report.domain}: {target.service} version {entry.version} rejected: {text}"
        for report in reports
        for entry in report.services.get(target.service, _Service()).rejected
        if entry.version == target.version
        for text in entry.findings or ["no findings"]
    ]


def _print(objects: tuple[StoredObject, ...], as_json: bool, say: Say) -> None:
    ordered = sorted(objects, key=lambda obj: obj.name)
    if as_json:
        say(json.dumps([obj.value for obj in ordered], ensure_ascii=False))
        return
    rows: list[tuple[str, ...]] = [HEADINGS]
    notes = []
    for obj in ordered:
        match _read(obj):
            case str(problem):
                notes.append(problem)
            case report:
                rows += _rows(report)
                notes += _notes(report)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        say("  ".join(cells).rstrip())
    for note in notes:
        say(note)


def _rows(report: _Domain) -> list[tuple[str, ...]]:
    updated = datetime.fromtimestamp(report.updated_at_ms / 1000, UTC)
    return [
        (
            report.domain,
            name,
            str(entry.accepted or "-"),
            str(entry.in_force or "-"),
            f"{entry.nodes_in_force}/{report.nodes}",
            updated.strftime("%Y-%m-%d %H:%M:%S"),
        )
        for name, entry in sorted(report.services.items())
    ]


def _notes(report: _Domain) -> list[str]:
    notes = []
    for name, entry in sorted(report.services.items()):
        place = f"{report.domain}: {name} version"
        for rejected in entry.rejected:
            found = rejected.findings or ["no findings"]
            notes += [f"{place} {rejected.version} rejected: {text}" for text in found]
        for held in entry.held:
            reasons = "; ".join(held.reasons)
            notes.append(f"{place} {held.version} held: {reasons}")
    return notes
