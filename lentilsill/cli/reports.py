"""Status of the configuration as reported by the domains."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok

from lentilsill.platform import Compacted, ObjectApi, StoredObject
from lentilsill.status import DomainStatus, ServiceStatus, status_from_value

from .edits import describe
from .exits import ExitCode

__all__ = ["Target", "print_status", "wait_for", "watch_status"]

STATUS_KIND = "status"
WATCH_S = 30.0
RETRY_S = 0.5
HEADINGS = ("DOMAIN", "SERVICE", "ACCEPTED", "IN FORCE", "NODES", "AS OF", "UPDATED")
# A domain writes at least every 55 s while one of its writers reaches the
# platform.
STALE_S = 90.0

Say = Callable[[str], None]
Clock = Callable[[], float]


NO_REPORT = ServiceStatus(as_of=0, newest=0)


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


async def print_status(
    api: ObjectApi, as_json: bool, say: Say, clock: Clock = time.time
) -> ExitCode:
    """Print the status objects of all domains once."""
    match await api.list(STATUS_KIND):
        case Err(error):
            say(describe(error))
            return ExitCode.UNAVAILABLE
        case Ok(listing):
            _print(listing.objects, as_json, say, clock())
    return ExitCode.OK


async def watch_status(
    api: ObjectApi, as_json: bool, say: Say, clock: Clock = time.time
) -> ExitCode:
    """Print the status after each change, until interrupted."""
    objects: dict[str, StoredObject] = {}
    revision: int | None = None
    while True:
        revision = await _follow(api, objects, revision, WATCH_S, say)
        if revision is not None:
            _print(tuple(objects.values()), as_json, say, clock())


async def wait_for(
    api: ObjectApi,
    target: Target,
    domains: list[str],
    bound_s: float,
    say: Say,
    clock: Clock = time.time,
) -> ExitCode:
    """Wait until every node of the domains has the version in force.

    A domain whose status is old may have changed since and counts as missing.

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
        reports = _read_all(objects.values())
        rejected = _rejections(reports, target)
        if rejected:
            for line in rejected:
                say(line)
            return ExitCode.REJECTED
        if not _missing(reports, target, domains, clock()):
            say(f"{target.service}: version {target.version} is in force everywhere")
            return ExitCode.OK
    reports = _read_all(objects.values())
    for line in _missing(reports, target, domains, clock()):
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


def _read(obj: StoredObject) -> DomainStatus | str:
    match status_from_value(obj.value):
        case Ok(status):
            return status
        case Err(findings):
            return "\n".join(f"status/{obj.name}: {found}" for found in findings)
    raise AssertionError("unreachable")


def _read_all(objects: Iterable[StoredObject]) -> list[DomainStatus]:
    return [r for r in map(_read, objects) if isinstance(r, DomainStatus)]


def _missing(
    reports: list[DomainStatus], target: Target, domains: list[str], now_s: float
) -> list[str]:
    """Name what still differs from the target, one line per domain."""
    by_name = {report.domain: report for report in reports}
    lines = []
    for name in domains or sorted(by_name) or ["no domain"]:
        report = by_name.get(name)
        if report is None:
            lines.append(f"{name}: has not reported")
            continue
        if _age_s(report, now_s) > STALE_S:
            lines.append(_stale_line(report, now_s))
            continue
        entry = report.services.get(target.service, NO_REPORT)
        reached = entry.in_force >= target.version
        if not reached or entry.nodes < max(entry.nodes_heard, 1):
            lines.append(
                f"{name}: {target.service} in force: {entry.in_force or '-'} "
                f"on {entry.nodes} of {entry.nodes_heard} nodes"
            )
    return lines


def _rejections(reports: list[DomainStatus], target: Target) -> list[str]:
    lines = []
    for report in reports:
        entry = report.services.get(target.service, NO_REPORT)
        if target.version in entry.rejected:
            place = f"{report.domain}: {target.service} version {target.version}"
            lines += _rejected_lines(place, entry.rejected[target.version])
    return lines


def _rejected_lines(place: str, findings: tuple[str, ...]) -> list[str]:
    return [f"{place} rejected: {text}" for text in findings or ("no findings",)]


def _print(
    objects: tuple[StoredObject, ...], as_json: bool, say: Say, now_s: float
) -> None:
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
                rows += _rows(report, now_s)
                notes += _notes(report, now_s)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        say("  ".join(cells).rstrip())
    for note in notes:
        say(note)


def _age_s(report: DomainStatus, now_s: float) -> float:
    """Age of a status; the clocks of hosts and operators may differ."""
    return max(now_s - report.updated_at_ms / 1000, 0.0)


def _age_text(report: DomainStatus, now_s: float) -> str:
    if not report.updated_at_ms:
        return "unknown"
    return f"{_age_s(report, now_s):.0f} s ago"


def _stale_line(report: DomainStatus, now_s: float) -> str:
    return (
        f"{report.domain}: not heard from, status updated "
        f"{_age_text(report, now_s)}; it may have changed since"
    )


def _rows(report: DomainStatus, now_s: float) -> list[tuple[str, ...]]:
    return [
        (
            report.domain,
            name,
            str(entry.accepted or "-"),
            str(entry.in_force or "-"),
            f"{entry.nodes}/{entry.nodes_heard}",
            str(entry.as_of),
            _age_text(report, now_s),
        )
        for name, entry in sorted(report.services.items())
    ]


def _notes(report: DomainStatus, now_s: float) -> list[str]:
    notes = []
    if _age_s(report, now_s) > STALE_S:
        notes.append(_stale_line(report, now_s))
    for name, entry in sorted(report.services.items()):
        place = f"{report.domain}: {name} version"
        for version, findings in entry.rejected.items():
            notes += _rejected_lines(f"{place} {version}", findings)
        if entry.held is not None:
            reasons = "; ".join(entry.held.reasons)
            notes.append(f"{place} {entry.held.version} held: {reasons}")
    return notes
