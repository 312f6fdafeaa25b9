"""Budgets and decisions for retries and hedged calls."""

from .budget import RetryBudget
from .decide import decide_hedge, decide_retry

__all__ = ["RetryBudget", "decide_hedge", "decide_retry"]
