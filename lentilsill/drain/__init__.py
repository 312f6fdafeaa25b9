"""Drain state of nodes and upstreams."""

from .state import DrainPhase, DrainReason, DrainState

__all__ = ["DrainPhase", "DrainReason", "DrainState"]
