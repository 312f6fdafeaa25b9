"""Admission of calls to the slots and the queue of an upstream."""

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
