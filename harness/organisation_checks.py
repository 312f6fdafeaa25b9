"""Checks of API keys and quotas on the history of a run."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence

from lentilsill.findings import Findings

from .history import CallRecord, DocumentWrite, History, runs_with_calls

__all__ = ["check_organisations"]

# Time within which nodes put a version with other keys or quotas in force.
KEY_BOUND_S = 2.5
# Quotas hold over windows of this length; the defaults of the settings.
WINDOW_S = 5.0
EXCESS_SHARE = 0.1
EXCESS_CALLS = 20.0


def check_organisations(history: History) -> Findings:
    """Check G10 to G12 on a history whose versions have organisations."""
    findings = Findings()
    versions = sorted(
        (w for w in history.writes if w.is_valid and w.organisations is not None),
        key=lambda w: w.time_s,
    )
    if versions:
        _check_refusals(history, versions, findings)
        _check_runs(history, versions, findings)
        _check_quotas(history, versions, findings)
    return findings


def _versions_between(
    versions: Sequence[DocumentWrite], start_s: float, end_s: float
) -> list[DocumentWrite]:
    """Return the versions that a node may have had in force in this time."""
    limit_s = start_s - KEY_BOUND_S
    replaced = [w for w in versions if w.time_s <= limit_s]
    return replaced[-1:] + [w for w in versions if limit_s < w.time_s <= end_s]


def _owner(version: DocumentWrite, api_key: str) -> str:
    """Return the organisation of a key in a version, empty if it is unknown."""
    for organisation in version.organisations or ():
        if api_key in organisation.api_keys:
            return organisation.name
    return ""


def _owners(versions: Sequence[DocumentWrite], call: CallRecord) -> set[str]:
    """Return the organisations that a call may have belonged to."""
    found = _versions_between(versions, call.start_s, call.end_s)
    return {_owner(version, call.api_key) for version in found}


def _check_refusals(
    history: History, versions: Sequence[DocumentWrite], findings: Findings
) -> None:
    for call in history.calls:
        if call.status == 401 and (call.is_public or "" not in _owners(versions, call)):
            findings.add(f"G11 {call.call_id}", f"{call.api_key} refused, but in force")


def _check_runs(
    history: History, versions: Sequence[DocumentWrite], findings: Findings
) -> None:
    for execution in history.executions:
        if execution.has_api_key:
            findings.add(f"G10 {execution.call_id}", f"{execution.upstream} got a key")
    for execution, call in runs_with_calls(history):
        name = execution.organisation
        allowed = _owners(versions, call) - (set() if call.is_public else {""})
        if name in allowed:
            continue
        is_untimely = name and any(_owner(w, call.api_key) == name for w in versions)
        findings.add(
            f"{'G11' if is_untimely else 'G10'} {call.call_id}",
            f"ran for {name or 'no organisation'} with {call.api_key or 'no key'}, "
            f"expected {' or '.join(sorted(allowed)) or 'no run'}",
        )


def _check_quotas(
    history: History, versions: Sequence[DocumentWrite], findings: Findings
) -> None:
    """Count the runs of each organisation by the time when their calls were sent."""
    sent: dict[str, list[float]] = defaultdict(list)
    for execution, call in runs_with_calls(history):
        if execution.organisation:
            sent[execution.organisation].append(call.start_s)
    for name, times in sent.items():
        times.sort()
        for index, start_s in enumerate(times):
            count = bisect_left(times, start_s + WINDOW_S) - index
            found = _versions_between(versions, start_s, start_s + WINDOW_S)
            limit = max((_limit(version, name) for version in found), default=0.0)
            if count > limit:
                findings.add(
                    f"G12 {name}",
                    f"{count} calls in {WINDOW_S:g} s from {start_s:.3f}, "
                    f"at most {limit:g}",
                )
                break


def _limit(version: DocumentWrite, name: str) -> float:
    """Return the calls of an organisation that may run in one window."""
    for organisation in version.organisations or ():
        if organisation.name == name and organisation.rate_per_s:
            calls = organisation.rate_per_s * WINDOW_S + organisation.burst
            return calls * (1 + EXCESS_SHARE) + EXCESS_CALLS
    # Runs of an organisation that a version lacks break G11.
    return float("inf")
