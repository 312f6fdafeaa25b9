"""Problems in input, each with the place where it was found."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["Finding", "Findings", "FindingsError"]


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One problem and its place.

    Parameters
    ----------
    place : str
        Path of the invalid value, for example ``routes[0].deadline_ms``.
    message : str
        What is wrong and what was expected.
    source : str
        File or object that was read; empty when there is only one.
    line : int
        Line in `source`, counted from 1; 0 when unknown.

    Examples
    --------
    >>> str(Finding("routes[0].deadline_ms", "must be greater than 0"))
    'routes[0].deadline_ms: must be greater than 0'
    >>> str(Finding("limits", "unknown key", "slots.json", 7))
    'slots.json:7: limits: unknown key'
    """

    place: str
    message: str
    source: str = ""
    line: int = 0

    def __str__(self) -> str:
        position = f"{self.source}:{self.line}" if self.line else self.source
        prefix = f"{position}: " if position else ""
        return f"{prefix}{self.place}: {self.message}"


@dataclass(slots=True)
class Findings:
    """Findings that the steps of a validation add one by one.

    Examples
    --------
    >>> findings = Findings()
    >>> findings.add("limits", "unknown key")
    >>> len(findings), bool(findings)
    (1, True)
    """

    items: list[Finding] = field(default_factory=list)

    def add(self, place: str, message: str, source: str = "", line: int = 0) -> None:
        """Add a finding."""
        self.items.append(Finding(place, message, source, line))

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.items)

    def __len__(self) -> int:
        return len(self.items)


class FindingsError(Exception):
    """The input is invalid; `findings` holds every problem that was found."""

    def __init__(self, findings: Findings) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
