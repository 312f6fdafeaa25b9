"""Marks test classes with the guarantees that they prove, and under which fault."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from unittest import TestCase

__all__ = ["FAULTS", "GUARANTEES", "Proof", "proofs_of", "proves"]

GUARANTEES = {
    "G1": "no node reverts to an older version",
    "G2": "no route references what the node does not have",
    "G3": "an invalid version is never applied",
    "G4": "a caller receives the complete answer to its own request",
    "G5": "a request refused as not run was not executed",
    "G6": "a non-idempotent request is executed at most once",
    "G7": "a departing upstream receives no new work after 2 s",
    "G8": "a graceful shutdown cuts no request in flight",
    "G9": "an accepted configuration is in force within 13 s",
    "G10": "a call runs for its API key's organisation; no upstream gets a key",
    "G11": "API keys that are added or removed are in force within 2.5 s",
    "G12": "an organisation's calls stay within its quota over all nodes",
    "G13": "a bad version gets few calls, and none 5 s after its 50th bad answer",
    "G14": "after a completed roll-out no call reaches an old upstream",
}
FAULTS = (
    "herd death and reconnect storm",
    "document source outage",
    "crossed updates",
    "platform down, slow, answer lost after write",
    "holder paused past its lease",
    "racing operators",
    "crash-causing request resent",
    "silent connections",
    "cut between domains",
    "cut from the platform",
    "node freeze",
    "kill -9 of node or worker mid-call",
    "clock offset",
    "store back from an older copy",
    "no fault: retirement under load",
    "an organisation at ten times its quota",
    "roll-outs of a good and a bad version",
)
PROOFS_ATTRIBUTE = "proofs"

T = TypeVar("T", bound=type[TestCase])


@dataclass(frozen=True, slots=True)
class Proof:
    """One guarantee under one fault."""

    guarantee: str
    fault: str


def proves(*guarantees: str, fault: str) -> Callable[[T], T]:
    """Declare the guarantees that a test class checks under a fault.

    A class can have several of these decorators.

    Raises ValueError for a guarantee or fault that is not listed here.
    """
    unknown = [name for name in guarantees if name not in GUARANTEES]
    if fault not in FAULTS:
        unknown.append(fault)
    if unknown:
        raise ValueError(f"not listed in harness.proofs: {unknown}")
    added = tuple(Proof(name, fault) for name in guarantees)

    def decorate(test: T) -> T:
        setattr(test, PROOFS_ATTRIBUTE, (*proofs_of(test), *added))
        return test

    return decorate


def proofs_of(test: type[TestCase]) -> tuple[Proof, ...]:
    """Return what a test class proves."""
    return tuple(getattr(test, PROOFS_ATTRIBUTE, ()))
