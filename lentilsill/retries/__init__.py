"""Budgets and decisions for retries and hedged calls."""

from .budget import Budget, RetryBudget, SharedRetryBudget
from .decide import decide_hedge, decide_retry

__all__ = [
    "Budget",
    "RetryBudget",
    "SharedRetryBudget",
    "decide_hedge",
    "decide_retry",
]
