"""Admission of calls to an upstream's slots and queue."""

from .ages import CallAges
from .queue import AdmissionQueue, Refuse, Start

__all__ = ["AdmissionQueue", "CallAges", "Refuse", "Start"]
