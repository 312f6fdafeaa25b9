"""Sessions at the command line, with versions, times and ids normalised."""

import json
import os
import re
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harness.processes import ROOT, Cluster, wait_until

__all__ = ["Session", "normalised_log"]

COMMAND_BOUND_S = 30.0
PROGRAMS = {
    "lentilsill": "lentilsill.cli.main",
    "lentilsilld": "lentilsill.daemon.main",
}
STATUS_ROW = re.compile(
    r"(\S+)\s+(\S+)\s+(\d+|-)\s+(\d+|-)\s+(\d+/\d+)\s+(\d+)\s+(\d+ s ago)"
)
VERSION = re.compile(r"(version:? |@)(\d+)")
# Fields of log events that differ between runs.
VOLATILE = {"time", "monotonic_s", "instance", "seconds", "elapsed_s", "peer"}


@dataclass
class Session:
    """Runs the programs and keeps a transcript."""

    cluster: Cluster
    lines: list[str] = field(default_factory=list)
    # Versions by their order of appearance.
    versions: dict[str, str] = field(default_factory=dict)

    def run(self, program: str, *args: str, shown: bool = True) -> str:
        """Run a program in the cluster's folder and give its output."""
        env = os.environ | {
            "PYTHONPATH": str(ROOT),
            "LENTILSILL_PLATFORM": self.cluster.layout.platform_url,
        }
        done = subprocess.run(
            [sys.executable, "-m", PROGRAMS[program], *args],
            cwd=self.cluster.folder,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=COMMAND_BOUND_S,
        )
        if shown:
            self.lines.append(self.clean(f"$ {program} {' '.join(args)}"))
            self.lines += [self.clean(line) for line in done.stdout.splitlines()]
            self.lines.append(f"exit {done.returncode}")
        return done.stdout

    def name_version(self, version: int | str) -> None:
        """Show a version as V1, V2 and so on from now on."""
        self.versions.setdefault(str(version), f"V{len(self.versions) + 1}")

    def say(self, text: str) -> None:
        """Add a line about what happens outside the programs."""
        self.lines.append(f"# {text}")

    def until_status(self, condition: Callable[[dict[str, Any]], bool]) -> None:
        """Wait until the status of the first domain meets a condition."""

        def is_met() -> bool:
            reports = json.loads(
                self.run("lentilsill", "status", "--json", shown=False)
            )
            return bool(reports) and condition(reports[0]["services"])

        wait_until(is_met, COMMAND_BOUND_S, "status")

    def transcript(self) -> str:
        """Give the whole session."""
        return "\n".join(self.lines)

    def clean(self, line: str) -> str:
        """Give a line without what differs between runs."""
        row = STATUS_ROW.fullmatch(line)
        if row is not None:
            # The last columns are a revision of the platform and an age.
            cells = [self.versions.get(cell, cell) for cell in row.groups()[2:4]]
            return "  ".join((*row.groups()[:2], *cells, row[5], "R", "T s ago"))
        line = VERSION.sub(lambda m: m[1] + self.versions.get(m[2], m[2]), line)
        line = re.sub(r"(at revision) \d+", r"\1 R", line)
        if line.startswith("DOMAIN"):
            return re.sub(r"\s{2,}", "  ", line)
        return line


def normalised_log(path: Path, kept: tuple[str, ...]) -> list[str]:
    """Give the events of a node's log that are kept, without volatile fields."""
    lines = []
    versions: dict[int, str] = {}
    for text in path.read_text(encoding="utf-8").splitlines():
        event = json.loads(text)
        if event.get("event") in kept:
            fields = {k: v for k, v in event.items() if k not in VOLATILE}
            if "version" in fields:
                name = f"V{len(versions) + 1}"
                fields["version"] = versions.setdefault(fields["version"], name)
            lines.append(json.dumps(fields, sort_keys=True))
    return lines
