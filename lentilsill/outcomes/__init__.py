"""Outcomes of calls, request keys, claims and the record of executions."""

from .model import Answer, CallResult, Outcome, Refused

__all__ = ["Answer", "CallResult", "Outcome", "Refused"]
