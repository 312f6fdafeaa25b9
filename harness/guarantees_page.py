"""Writes docs/guarantees.md from the `proves` decorators of the test classes."""

import importlib
import pkgutil
import sys
from pathlib import Path
from unittest import TestCase

from . import tests
from .proofs import FAULTS, GUARANTEES, Proof, proofs_of
from .run_tests import read_known_red

__all__ = ["PAGE", "find_proofs", "main", "render"]

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "guarantees.md"
NOT_PROVED = "not proved"
HEAD = """# Guarantees and the tests that prove them

Each cell names the test classes that run real processes under the fault and check
the guarantee on the recorded history; ClockOffsetTests runs the decision state of
replicas with shifted clocks instead. "Red" marks a test that KNOWN-RED.txt
lists. `python -m harness.guarantees_page` writes this page from the
`proves` decorators of the tests, and a test compares the two.

G6 has one limit for keys in the caller's own form, whose claims are in the platform.
When its store comes back from an older copy of itself, nodes store the claims of the
last 60 s again, and refuse such keys as unknown for 5 s. A key whose node was lost then
can run a second time. Keys that nodes have issued are not affected.
"""


def find_proofs() -> dict[Proof, list[type[TestCase]]]:
    """Return the test classes below `harness.tests` that declare each proof."""
    found: dict[Proof, list[type[TestCase]]] = {}
    for module in pkgutil.iter_modules(tests.__path__, f"{tests.__name__}."):
        if not module.name.rpartition(".")[2].startswith("test_"):
            continue
        for value in vars(importlib.import_module(module.name)).values():
            if isinstance(value, type) and value.__module__ == module.name:
                for proof in proofs_of(value):
                    found.setdefault(proof, []).append(value)
    return found


def render(proofs: dict[Proof, list[type[TestCase]]], known_red: set[str]) -> str:
    """Return the text of the page."""
    lines = [HEAD, "| guarantee | " + " | ".join(FAULTS) + " |"]
    lines.append("|---" * (len(FAULTS) + 1) + "|")
    for number, text in GUARANTEES.items():
        cells = [_cell(proofs.get(Proof(number, f), []), known_red) for f in FAULTS]
        lines.append(f"| {number} {text} | " + " | ".join(cells) + " |")
    lines += ["", "| test class | test |", "|---|---|"]
    classes = {test for found in proofs.values() for test in found}
    for test in sorted(classes, key=lambda cls: cls.__name__):
        lines.append(f"| {test.__name__} | `{test.__module__}.{test.__name__}` |")
    return "\n".join(lines) + "\n"


def _cell(found: list[type[TestCase]], known_red: set[str]) -> str:
    names = []
    for test in found:
        prefix = f"{test.__module__}.{test.__name__}"
        is_red = any(name.startswith(prefix) for name in known_red)
        names.append(f"{test.__name__} (red)" if is_red else test.__name__)
    return ", ".join(sorted(names)) or NOT_PROVED


def main() -> int:
    """Write the page."""
    known_red = read_known_red(ROOT / "KNOWN-RED.txt")
    PAGE.write_text(render(find_proofs(), known_red), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
