"""Two operators edit one document at once on a slow platform that loses answers."""

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

PLATFORM_DELAY_MS = 60.0
MAX_EDIT_PAUSE_S = 1.0
LOST_ANSWER_SHARE = 0.4
CLI_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 30
NOT_WRITTEN = frozenset(
    {ExitCode.CONFLICT, ExitCode.NOT_WRITTEN, ExitCode.UNAVAILABLE, ExitCode.INVALID}
)


@dataclass
class Operator:
    """Adds one upstream set to a document per edit, using the command-line tool.

    `exit_codes` maps the name of the added set, which is unique to each attempt, to
    the exit status of `apply`.
    """

    run: Run
    name: str
    service: str
    exit_codes: dict[str, ExitCode] = field(default_factory=dict)

    async def edit(self, edit_count: int) -> None:
        """Attempt edits until `edit_count` of them are reported as written."""
        for attempt in range(MAX_ATTEMPTS):
            if list(self.exit_codes.values()).count(ExitCode.OK) == edit_count:
                return
            await self._attempt(f"{self.name}-{attempt}")
        self.run.findings.add(self.name, f"not done in {MAX_ATTEMPTS} attempts")

    async def _attempt(self, set_name: str) -> None:
        code, text = await self._cli("get", self.service)
        if code != ExitCode.OK:
            return
        value = json5.loads(text)
        value["upstream_sets"][set_name] = {
            "labels": {"by": set_name},
            "leaving": False,
        }
        path = self.run.cluster.folder / f"{self.name}.json5"
        version_line = text.splitlines()[0]
        path.write_text(f"{version_line}\n{json.dumps(value)}\n", encoding="utf-8")
        # Without a random pause, the same operator would always write first.
        await asyncio.sleep(self.run.rng.uniform(0, MAX_EDIT_PAUSE_S))
        self.exit_codes[set_name], _ = await self._cli("apply", str(path))

    async def _cli(self, *args: str) -> tuple[ExitCode, str]:
        url = self.run.cluster.layout.platform_url
        command = [sys.executable, "-m", "lentilsill.cli.main", *args]

        def run_command() -> subprocess.CompletedProcess[str]:
            return subprocess.run(
                [*command, "--platform", url],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=CLI_TIMEOUT_S,
            )

        completed = await asyncio.to_thread(run_command)
        return ExitCode(completed.returncode), completed.stdout


async def run_racing_operators(run: Run) -> None:
    """Run two operators concurrently and compare exit statuses with the history."""
    service = run.scenario.services[0]
    load = run.make_load(service_ms=20, concurrency=6)
    load.start()
    run.cluster.set_faults(
        mode="slow", delay_ms=PLATFORM_DELAY_MS, lose_write_answers=LOST_ANSWER_SHARE
    )
    operators = [Operator(run, name, service) for name in ("anna", "bakyt")]
    edit_count = int(run.parameters["edits"])
    await asyncio.gather(*(operator.edit(edit_count) for operator in operators))
    run.cluster.set_faults(mode="ok")
    versions = _read_versions(run, service)
    recorded_versions = {write.version for write in run.recording.writes}
    now_s = time.monotonic()
    run.recording.writes += [
        DocumentWrite(service, version, now_s)
        for version, _ in versions
        if version not in recorded_versions
    ]
    run.recovery_s = await run.wait_until_in_force(what="edits of both operators")
    await load.stop()
    for operator in operators:
        _check_exit_codes(run, operator, versions)
    for (version, value), (_, previous_value) in zip(
        versions[1:], versions, strict=False
    ):
        if value == previous_value:
            run.findings.add("operators", f"version {version} repeats the one before")


def _read_versions(run: Run, service: str) -> list[tuple[int, Any]]:
    url = f"{run.cluster.layout.platform_url}/objects/service?watch=0&wait_ms=0"
    objects = [event["object"] for event in fetch_json(url)["events"]]
    return [
        (obj["metadata"]["revision"], obj["spec"])
        for obj in objects
        if obj["metadata"]["name"] == service
    ]


def _check_exit_codes(
    run: Run, operator: Operator, versions: list[tuple[int, Any]]
) -> None:
    set_names_by_version = [set(value["upstream_sets"]) for _, value in versions]
    descriptions = [
        f"{name}: {code.name}" for name, code in operator.exit_codes.items()
    ]
    print(f"reports: {', '.join(descriptions)}")
    for set_name, code in operator.exit_codes.items():
        if code == ExitCode.OK and set_name not in set_names_by_version[-1]:
            run.findings.add("operators", f"{set_name}: reported as written, but lost")
        if code in NOT_WRITTEN and any(
            set_name in names for names in set_names_by_version
        ):
            run.findings.add(
                "operators", f"{set_name}: reported {code.name}, but written"
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
