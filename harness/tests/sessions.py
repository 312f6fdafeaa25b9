"""Command-line sessions with normalised versions, times and identifiers."""

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

__all__ = ["Session", "read_normalised_log"]

COMMAND_TIMEOUT_S = 30.0
PROGRAM_MODULES = {
    "lentilsill": "lentilsill.cli.main",
    "lentilsilld": "lentilsill.daemon.main",
}
STATUS_ROW_PATTERN = re.compile(
    r"(\S+)\s+(\S+)\s+(\d+|-)\s+(\d+|-)\s+(\d+/\d+)\s+(\d+)\s+(\d+ s ago)"
)
VERSION_PATTERN = re.compile(r"(version:? |@)(\d+)")
# Fields of log events whose values differ between runs.
VARYING_FIELDS = {"time", "monotonic_s", "instance", "seconds", "elapsed_s", "peer"}


@dataclass
class Session:
    """Runs programs and records a transcript."""

    cluster: Cluster
    lines: list[str] = field(default_factory=list)
    # Label of each version (V1, V2, ...), in order of first appearance.
    version_labels: dict[str, str] = field(default_factory=dict)

    def run(self, program: str, *args: str, is_recorded: bool = True) -> str:
        """Run a program in the cluster's folder and return its output."""
        env = os.environ | {
            "PYTHONPATH": str(ROOT),
            "LENTILSILL_PLATFORM": self.cluster.layout.platform_url,
        }
        completed = subprocess.run(
            [sys.executable, "-m", PROGRAM_MODULES[program], *args],
            cwd=self.cluster.folder,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        if is_recorded:
            self.lines.append(self.normalise(f"$ {program} {' '.join(args)}"))
            self.lines += [
                self.normalise(line) for line in completed.stdout.splitlines()
            ]
            self.lines.append(f"exit {completed.returncode}")
        return completed.stdout

    def label_version(self, version: int | str) -> None:
        """Assign the next label (V1, V2, ...) to a version that has none yet."""
        self.version_labels.setdefault(str(version), f"V{len(self.version_labels) + 1}")

    def add_comment(self, text: str) -> None:
        """Add a line that describes an event outside the programs."""
        self.lines.append(f"# {text}")

    def wait_for_status(self, condition: Callable[[dict[str, Any]], bool]) -> None:
        """Wait until the services in the first domain's status meet a condition."""

        def is_met() -> bool:
            domain_statuses = json.loads(
                self.run("lentilsill", "status", "--json", is_recorded=False)
            )
            return bool(domain_statuses) and condition(domain_statuses[0]["services"])

        wait_until(is_met, COMMAND_TIMEOUT_S, "status")

    def transcript(self) -> str:
        """Return the text of the whole session."""
        return "\n".join(self.lines)

    def normalise(self, line: str) -> str:
        """Return a line with the parts that differ between runs replaced."""
        row = STATUS_ROW_PATTERN.fullmatch(line)
        if row is not None:
            # The last two columns are a platform revision and an age.
            cells = [self.version_labels.get(cell, cell) for cell in row.groups()[2:4]]
            return "  ".join((*row.groups()[:2], *cells, row[5], "R", "T s ago"))
        line = VERSION_PATTERN.sub(
            lambda m: m[1] + self.version_labels.get(m[2], m[2]), line
        )
        line = re.sub(r"(at revision) \d+", r"\1 R", line)
        if line.startswith("DOMAIN"):
            return re.sub(r"\s{2,}", "  ", line)
        return line


def read_normalised_log(path: Path, event_names: tuple[str, ...]) -> list[str]:
    """Return the named events of a node's log without the varying fields."""
    lines = []
    version_labels: dict[int, str] = {}
    for text in path.read_text(encoding="utf-8").splitlines():
        event = json.loads(text)
        if event.get("event") in event_names:
            fields = {k: v for k, v in event.items() if k not in VARYING_FIELDS}
            if "version" in fields:
                label = f"V{len(version_labels) + 1}"
                fields["version"] = version_labels.setdefault(fields["version"], label)
            lines.append(json.dumps(fields, sort_keys=True))
    return lines
