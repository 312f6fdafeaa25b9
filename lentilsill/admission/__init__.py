"""Admission of calls to an upstream's slots and queue."""

from .queue import AdmissionQueue, Refuse, Start

__all__ = ["AdmissionQueue", "Refuse", "Start"]
