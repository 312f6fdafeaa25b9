"""Admission of calls to an upstream's slots and queue."""

from .ages import CallAges
from .queue import AdmissionQueue, Refuse, Start
from .usage import KindUsage, SlotUsage, UsageReport

__all__ = [
    "AdmissionQueue",
    "CallAges",
    "KindUsage",
    "Refuse",
    "SlotUsage",
    "Start",
    "UsageReport",
]
