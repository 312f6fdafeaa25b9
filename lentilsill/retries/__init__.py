"""Budgets and decisions for retries and hedged calls."""

from .asking import AskRecord
from .budget import Budget, RetryBudget, SharedRetryBudget
from .decide import MAX_ASKS, decide_hedge, decide_retry, may_ask

__all__ = [
    "MAX_ASKS",
    "AskRecord",
    "Budget",
    "RetryBudget",
    "SharedRetryBudget",
    "decide_hedge",
    "decide_retry",
    "may_ask",
]
