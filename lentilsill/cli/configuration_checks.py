"""Checks of a configuration object of the users' platform before it is sent."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import json5
from result import Err, Ok

from lentilsill.documents import (
    Bundle,
    bundle_text,
    compare_bundles,
    parse_bundle,
    review_bundle,
)
from lentilsill.findings import Findings
from lentilsill.platform.configuration import HOSTS_FIELD, ConfigurationDecoder

from .checks import add_locations
from .exits import ExitCode

__all__ = ["check_configuration", "is_configuration"]

Echo = Callable[[str], None]


def is_configuration(path: Path) -> bool:
    """Return whether a file holds a configuration object, alone or as a ``spec``."""
    try:
        value = _parse(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False
    spec = value.get("spec", value) if isinstance(value, dict) else None
    return isinstance(spec, dict) and HOSTS_FIELD in spec


def check_configuration(path: Path, against: Path | None, echo: Echo) -> ExitCode:
    """Print what is wrong with a configuration, and how it differs from another one.

    Errors are entries that nodes leave out, and whatever makes them reject the version.
    Warnings are entries without effect and limits that contradict each other.
    """
    checked = _read(path)
    for finding in checked.errors:
        echo(f"error: {finding}")
    errors = len(checked.errors)
    warnings = differences = 0
    if checked.bundle is not None:
        review = review_bundle(checked.bundle)
        warnings = len(review)
        for finding in review:
            echo(f"warning: {path}: {finding}")
    if against is not None:
        in_force = _read(against)
        if in_force.bundle is None:
            for finding in in_force.errors:
                echo(f"error: {finding}")
            errors += len(in_force.errors)
        elif checked.bundle is not None:
            if checked.bundle.version <= in_force.bundle.version:
                errors += 1
                echo(f"error: {path}: version: is not above that of {against}")
            lines = compare_bundles(in_force.bundle, checked.bundle)
            differences = len(lines)
            for line in lines:
                echo(line)
    echo(f"{path}: {errors} errors, {warnings} warnings, {differences} differences")
    if errors:
        return ExitCode.INVALID
    if warnings:
        return ExitCode.WARNINGS
    return ExitCode.DIFFERENT if differences else ExitCode.OK


@dataclass(frozen=True, slots=True)
class _Checked:
    """A configuration; `bundle` is None if nodes would reject it."""

    errors: Findings
    bundle: Bundle | None = None


def _read(path: Path) -> _Checked:
    findings = Findings()
    try:
        text = path.read_text(encoding="utf-8")
        value = _parse(text)
    except (OSError, ValueError) as exc:
        findings.add("file", str(exc), str(path))
        return _Checked(findings)
    prefix = ""
    if isinstance(value, dict) and "spec" in value:
        value, prefix = value["spec"], "spec."
    decoder = ConfigurationDecoder()
    try:
        bundle_value = decoder.decode(value)
    except ValueError as exc:
        findings.add(f"{prefix}configuration", str(exc))
        return _Checked(add_locations(findings, text, str(path)))
    for line in decoder.findings:
        place, _, message = line.partition(": ")
        findings.add(prefix + place, message)
    match parse_bundle(bundle_text(bundle_value), 0):
        case Ok(bundle):
            return _Checked(add_locations(findings, text, str(path)), bundle)
        case Err(rejections):
            findings.items += rejections.items
    return _Checked(add_locations(findings, text, str(path)))


def _parse(text: str) -> Any:
    """Parse JSON, or JSON with comments, whose parser takes seconds for 1 MB."""
    try:
        return json.loads(text)
    except ValueError:
        return json5.loads(text, allow_duplicate_keys=False)
