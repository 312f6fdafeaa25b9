"""Two operators race for one document on a slow platform that loses answers."""

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import json5

from harness.history import DocumentWrite
from harness.processes import ROOT, fetch_json
from harness.scenario import Run, Scenario
from lentilsill.cli.exits import ExitCode

__all__ = ["OPERATORS", "RACING_OPERATORS"]

SLOW_MS = 60.0
EDIT_PAUSE_S = 1.0
LOST_SHARE = 0.4
CLI_BOUND_S = 30.0
MAX_ATTEMPTS = 30
NOT_WRITTEN = frozenset(
    {ExitCode.CONFLICT, ExitCode.NOT_WRITTEN, ExitCode.UNAVAILABLE, ExitCode.INVALID}
)


@dataclass
class Operator:
    """Adds upstream sets to a document, one an edit, by the command-line tool.

    `reports` are the exit statuses of `apply` by the name of the set, which is
    another one for each attempt.
    """

    run: Run
    name: str
    service: str
    reports: dict[str, ExitCode] = field(default_factory=dict)

    async def edit(self, edits: int) -> None:
        """Make edits until so many are reported as written."""
        for attempt in range(MAX_ATTEMPTS):
            if list(self.reports.values()).count(ExitCode.OK) == edits:
                return
            await self._attempt(f"{self.name}-{attempt}")
        self.run.findings.add(self.name, f"not done in {MAX_ATTEMPTS} attempts")

    async def _attempt(self, marker: str) -> None:
        code, text = await self._cli("get", self.service)
        if code != ExitCode.OK:
            return
        value = json5.loads(text)
        value["upstream_sets"][marker] = {"labels": {"by": marker}, "leaving": False}
        path = self.run.cluster.folder / f"{self.name}.json5"
        base = text.splitlines()[0]
        path.write_text(f"{base}\n{json.dumps(value)}\n", encoding="utf-8")
        # Without a pause of its own one operator wins each race.
        await asyncio.sleep(self.run.rng.uniform(0, EDIT_PAUSE_S))
        self.reports[marker], _ = await self._cli("apply", str(path))

    async def _cli(self, *args: str) -> tuple[ExitCode, str]:
        url = self.run.cluster.layout.platform_url
        command = [sys.executable, "-m", "lentilsill.cli.main", *args]

        def call() -> subprocess.CompletedProcess[str]:
            return subprocess.run(
                [*command, "--platform", url],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=CLI_BOUND_S,
            )

        done = await asyncio.to_thread(call)
        return ExitCode(done.returncode), done.stdout


async def run_racing_operators(run: Run) -> None:
    """Let two operators edit at once, and compare their reports with the history."""
    service = run.scenario.services[0]
    load = run.make_load(service_ms=20, concurrency=6)
    load.start()
    run.cluster.set_faults(mode="slow", delay_ms=SLOW_MS, lose_write_answers=LOST_SHARE)
    operators = [Operator(run, name, service) for name in ("anna", "bakyt")]
    edits = int(run.parameters["edits"])
    await asyncio.gather(*(operator.edit(edits) for operator in operators))
    run.cluster.set_faults(mode="ok")
    versions = _versions(run, service)
    known = {write.version for write in run.recording.writes}
    now = time.monotonic()
    run.recording.writes += [
        DocumentWrite(service, version, now)
        for version, _ in versions
        if version not in known
    ]
    run.recovery_s = await run.wait_until_in_force(what="edits of both operators")
    await load.stop()
    for operator in operators:
        _check_reports(run, operator, versions)
    for (version, value), (_, before) in zip(versions[1:], versions, strict=False):
        if value == before:
            run.findings.add("operators", f"version {version} repeats the one before")


def _versions(run: Run, service: str) -> list[tuple[int, Any]]:
    url = f"{run.cluster.layout.platform_url}/objects/service?watch=0&wait_ms=0"
    objects = [event["object"] for event in fetch_json(url)["events"]]
    return [
        (obj["metadata"]["revision"], obj["spec"])
        for obj in objects
        if obj["metadata"]["name"] == service
    ]


def _check_reports(
    run: Run, operator: Operator, versions: list[tuple[int, Any]]
) -> None:
    sets = [set(value["upstream_sets"]) for _, value in versions]
    outcomes = [f"{name}: {code.name}" for name, code in operator.reports.items()]
    print(f"reports: {', '.join(outcomes)}")
    for marker, code in operator.reports.items():
        if code == ExitCode.OK and marker not in sets[-1]:
            run.findings.add("operators", f"{marker}: reported as written, but lost")
        if code in NOT_WRITTEN and any(marker in names for names in sets):
            run.findings.add(
                "operators", f"{marker}: reported {code.name}, but written"
            )


RACING_OPERATORS = Scenario(
    "racing-operators",
    run_racing_operators,
    hosts_per_domain=1,
    services=("slots",),
    seed=15,
    parameters={"edits": 3},
    soak_parameters={"edits": 15},
)
OPERATORS = (RACING_OPERATORS,)
