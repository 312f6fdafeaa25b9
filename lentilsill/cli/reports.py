"""Commands that show which configuration the domains report as in force."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok

from lentilsill.platform import Compacted, ObjectApi, StoredObject
from lentilsill.platform.rollouts import STATES_KIND, parse_state
from lentilsill.status import DomainStatus, ServiceStatus, status_from_value
from lentilsill.versioning import format_position, parse_position

from .edits import describe_error
from .exits import ExitCode

__all__ = ["Target", "print_status", "wait_until_in_force", "watch_status"]

STATUS_KIND = "status"
WATCH_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.5
ROLLOUT_HEADINGS: tuple[str, ...] = ("SERVICE", "TARGET", "STAGE", "REASON")
HEADINGS = ("DOMAIN", "SERVICE", "ACCEPTED", "IN FORCE", "NODES", "AS OF", "UPDATED")
# A domain writes its status at least every 55 s while one of its writers can
# reach the platform.
STALE_AFTER_S = 90.0

Echo = Callable[[str], None]
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

    def __str__(self) -> str:
        return f"{self.service}: version {format_position(self.version)}"

    @classmethod
    def parse(cls, text: str) -> "Target":
        """Parse the form ``SERVICE@VERSION``; raise ValueError for other text."""
        service, separator, version = text.partition("@")
        if not (service and separator):
            raise ValueError(f"{text}: must be SERVICE@VERSION")
        return cls(service, parse_position(version))


async def print_status(
    api: ObjectApi, as_json: bool, echo: Echo, clock: Clock = time.time
) -> ExitCode:
    """Print the status objects of all domains once."""
    match await api.list(STATUS_KIND):
        case Err(error):
            echo(describe_error(error))
            return ExitCode.UNAVAILABLE
        case Ok(listing):
            _print_statuses(listing.objects, as_json, echo, clock())
    if not as_json:
        await _print_rollouts(api, echo)
    return ExitCode.OK


async def watch_status(
    api: ObjectApi, as_json: bool, echo: Echo, clock: Clock = time.time
) -> ExitCode:
    """Print the status now and after each change, until interrupted."""
    objects: dict[str, StoredObject] = {}
    revision: int | None = None
    while True:
        revision = await _update_objects(api, objects, revision, WATCH_TIMEOUT_S, echo)
        if revision is not None:
            _print_statuses(tuple(objects.values()), as_json, echo, clock())
            if not as_json:
                await _print_rollouts(api, echo)


async def wait_until_in_force(
    api: ObjectApi,
    target: Target,
    domains: list[str],
    timeout_s: float,
    echo: Echo,
    clock: Clock = time.time,
) -> ExitCode:
    """Wait until the target version is in force on every node of the domains.

    A domain whose status is older than `STALE_AFTER_S` may have changed since
    and counts as not having reached the version.

    Parameters
    ----------
    domains : list of str
        Domains that must report; if empty, all domains that have reported.
    timeout_s : float
        Longest wait, in seconds.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    objects: dict[str, StoredObject] = {}
    revision: int | None = None
    while (remaining_s := end_s - loop.time()) > 0:
        watch_timeout_s = min(remaining_s, WATCH_TIMEOUT_S)
        revision = await _update_objects(api, objects, revision, watch_timeout_s, echo)
        reports = _parse_valid_statuses(objects.values())
        rejected = _describe_rejections(reports, target)
        if rejected:
            for line in rejected:
                echo(line)
            return ExitCode.REJECTED
        if not _describe_missing(reports, target, domains, clock()):
            echo(f"{target} is in force everywhere")
            return ExitCode.OK
    reports = _parse_valid_statuses(objects.values())
    for line in _describe_missing(reports, target, domains, clock()):
        echo(line)
    echo(f"{target} not everywhere in {timeout_s:g} s")
    return ExitCode.TIMEOUT


async def _update_objects(
    api: ObjectApi,
    objects: dict[str, StoredObject],
    revision: int | None,
    timeout_s: float,
    echo: Echo,
) -> int | None:
    """Update `objects` by a list or a watch of the platform.

    Returns the revision of `objects`, or None after a failure; the next call then
    lists the objects again.
    """
    if revision is None:
        match await api.list(STATUS_KIND):
            case Ok(listing):
                objects.clear()
                objects.update((obj.name, obj) for obj in listing.objects)
                return listing.revision
            case Err(error):
                echo(describe_error(error))
                await asyncio.sleep(min(RETRY_DELAY_S, timeout_s))
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
            echo(describe_error(error))
            await asyncio.sleep(min(RETRY_DELAY_S, timeout_s))
    return None


def _parse_status(obj: StoredObject) -> DomainStatus | str:
    match status_from_value(obj.value):
        case Ok(status):
            return status
        case Err(findings):
            return "\n".join(f"status/{obj.name}: {finding}" for finding in findings)
    raise AssertionError("unreachable")


def _parse_valid_statuses(objects: Iterable[StoredObject]) -> list[DomainStatus]:
    return [
        report
        for report in map(_parse_status, objects)
        if isinstance(report, DomainStatus)
    ]


def _describe_missing(
    reports: list[DomainStatus], target: Target, domains: list[str], now_s: float
) -> list[str]:
    """Return one line for each domain that has not reached the target."""
    by_name = {report.domain: report for report in reports}
    lines = []
    for name in domains or sorted(by_name) or ["no domain"]:
        report = by_name.get(name)
        if report is None:
            lines.append(f"{name}: has not reported")
            continue
        if _age_s(report, now_s) > STALE_AFTER_S:
            lines.append(_format_stale(report, now_s))
            continue
        entry = report.services.get(target.service, NO_REPORT)
        has_reached = entry.in_force >= target.version
        if not has_reached or entry.nodes < max(entry.nodes_heard, 1):
            lines.append(
                f"{name}: {target.service} in force: {_format_version(entry.in_force)} "
                f"on {entry.nodes} of {entry.nodes_heard} nodes"
            )
    return lines


def _describe_rejections(reports: list[DomainStatus], target: Target) -> list[str]:
    lines = []
    version = format_position(target.version)
    for report in reports:
        entry = report.services.get(target.service, NO_REPORT)
        if target.version in entry.rejected:
            prefix = f"{report.domain}: {target.service} version {version}"
            lines += _format_rejected(prefix, entry.rejected[target.version])
    return lines


def _format_rejected(prefix: str, findings: tuple[str, ...]) -> list[str]:
    return [f"{prefix} rejected: {text}" for text in findings or ("no findings",)]


def _print_statuses(
    objects: tuple[StoredObject, ...], as_json: bool, echo: Echo, now_s: float
) -> None:
    ordered = sorted(objects, key=lambda obj: obj.name)
    if as_json:
        echo(json.dumps([obj.value for obj in ordered], ensure_ascii=False))
        return
    rows: list[tuple[str, ...]] = [HEADINGS]
    notes = []
    for obj in ordered:
        match _parse_status(obj):
            case str(problem):
                notes.append(problem)
            case report:
                rows += _make_rows(report, now_s)
                notes += _make_notes(report, now_s)
    _print_table(rows, echo)
    for note in notes:
        echo(note)


async def _print_rollouts(api: ObjectApi, echo: Echo) -> None:
    """Print the roll-outs, if there are any."""
    match await api.list(STATES_KIND):
        case Err(error):
            echo(describe_error(error))
        case Ok(listing) if listing.objects:
            rows = [ROLLOUT_HEADINGS]
            for obj in sorted(listing.objects, key=lambda obj: obj.name):
                match parse_state(obj):
                    case Ok(state):
                        stage = state.stage.name.lower()
                        version = state.order.target_version
                        rows.append((obj.name, version, stage, state.reason or "-"))
                    case Err(reason):
                        rows.append((obj.name, "-", "unreadable", reason))
            _print_table(rows, echo)


def _print_table(rows: list[tuple[str, ...]], echo: Echo) -> None:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        echo("  ".join(cells).rstrip())


def _age_s(report: DomainStatus, now_s: float) -> float:
    """Return the age of a status in seconds.

    The age is at least 0, as the clocks of hosts and operators may differ.
    """
    return max(now_s - report.updated_at_ms / 1000, 0.0)


def _format_age(report: DomainStatus, now_s: float) -> str:
    if not report.updated_at_ms:
        return "unknown"
    return f"{_age_s(report, now_s):.0f} s ago"


def _format_stale(report: DomainStatus, now_s: float) -> str:
    return (
        f"{report.domain}: not heard from, status updated "
        f"{_format_age(report, now_s)}; it may have changed since"
    )


def _format_version(version: int) -> str:
    return format_position(version) if version else "-"


def _make_rows(report: DomainStatus, now_s: float) -> list[tuple[str, ...]]:
    return [
        (
            report.domain,
            name,
            _format_version(entry.accepted),
            _format_version(entry.in_force),
            f"{entry.nodes}/{entry.nodes_heard}",
            format_position(entry.as_of),
            _format_age(report, now_s),
        )
        for name, entry in sorted(report.services.items())
    ]


def _make_notes(report: DomainStatus, now_s: float) -> list[str]:
    notes = []
    if _age_s(report, now_s) > STALE_AFTER_S:
        notes.append(_format_stale(report, now_s))
    for name, entry in sorted(report.services.items()):
        prefix = f"{report.domain}: {name} version"
        for rejected, findings in entry.rejected.items():
            notes += _format_rejected(f"{prefix} {format_position(rejected)}", findings)
        if entry.held is not None:
            reasons = "; ".join(entry.held.reasons)
            notes.append(
                f"{prefix} {format_position(entry.held.version)} held: {reasons}"
            )
    return notes
