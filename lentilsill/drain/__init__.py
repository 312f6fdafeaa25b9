"""Drain of a node: it finishes the calls that it has accepted, and then exits."""

from .state import DrainPhase, DrainReason, DrainState

__all__ = ["DrainPhase", "DrainReason", "DrainState"]
