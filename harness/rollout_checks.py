"""Checks of roll-outs on the history of a run."""

from lentilsill.findings import Findings

from .history import CallRecord, Execution, History, Rollout, runs_with_calls

__all__ = ["EXPOSED_CALLS", "EXPOSED_SHARE", "ROLLBACK_S", "check_rollouts"]

# Bounds on the calls that a bad version gets, as in the settings of the nodes.
EXPOSED_SHARE = 0.1
EXPOSED_CALLS = 50
ROLLBACK_S = 5.0
# The time for the roll-back begins with this bad answer.
BAD_ANSWERS = 50

Runs = list[tuple[Execution, CallRecord]]


def check_rollouts(history: History) -> Findings:
    """Check G13 and G14 on the roll-outs of a history."""
    findings = Findings()
    for rollout in history.rollouts:
        runs = [
            (run, call)
            for run, call in runs_with_calls(history)
            if (run.service, run.version) == (rollout.service, rollout.version)
        ]
        if rollout.is_bad:
            _check_exposure(history, rollout, runs, findings)
            _check_rollback(runs, findings)
        if rollout.outcome == "completed":
            _check_completion(history, rollout, findings)
    return findings


def _check_exposure(
    history: History, rollout: Rollout, runs: Runs, findings: Findings
) -> None:
    """Compare the runs on the version with the calls sent during the order."""

    def is_in_time(call: CallRecord) -> bool:
        return 0 <= call.start_s - rollout.ordered_s <= rollout.duration_s

    sent = [c for c in history.calls if c.service == rollout.service and is_in_time(c)]
    count = len({call.call_id for call in sent})
    exposed = sum(is_in_time(call) for _, call in runs)
    limit = EXPOSED_SHARE * count + EXPOSED_CALLS
    if exposed > limit:
        what = f"{exposed} of {count} calls at a bad version, at most {limit:g}"
        findings.add(f"G13 {rollout.service}", what)


def _check_rollback(runs: Runs, findings: Findings) -> None:
    # The caller has the answer at the end of its call.
    bad = sorted(
        call.end_s for run, call in runs if run.is_bad and call.outcome == "answer"
    )
    if len(bad) < BAD_ANSWERS:
        return
    limit_s = bad[BAD_ANSWERS - 1] + ROLLBACK_S
    for run, call in runs:
        if call.start_s > limit_s:
            late = f"{call.start_s - limit_s:.3f} s late"
            findings.add(f"G13 {run.call_id}", f"ran on {run.upstream}, {late}")


def _check_completion(history: History, rollout: Rollout, findings: Findings) -> None:
    for run in history.executions:
        is_old = run.service == rollout.service and run.version != rollout.version
        if is_old and run.start_s > rollout.ended_s:
            late = f"{run.start_s - rollout.ended_s:.3f} s late"
            findings.add(f"G14 {run.call_id}", f"reached {run.upstream}, {late}")
