"""Budgets that limit the retries and hedges of calls."""

from lentilsill.daemon.context import Context
from lentilsill.retries import Budget, RetryBudget, SharedRetryBudget

from .call_progress import CallProgress

__all__ = ["CallBudgets"]


class CallBudgets:
    """Retry and hedge budgets of this node.

    Each route has a hedge budget and a retry budget. With `calls.retry_ratio`, all
    nodes share one retry budget for each target service instead.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._by_route: dict[tuple[str, str, str], RetryBudget] = {}
        self._shared: dict[str, SharedRetryBudget] = {}

    def for_retries(self, progress: CallProgress, service: str) -> Budget:
        """Return the budget for retries at the upstreams of `service`."""
        cfg = self._ctx.cfg.calls
        if cfg.retry_ratio is None:
            return self._route_budget(
                "retry", progress, progress.route.retry.budget_percent
            )
        shared = self._shared.get(service)
        if shared is None:
            shared = self._shared[service] = SharedRetryBudget(
                cfg.retry_ratio, cfg.retry_window_s, cfg.retry_allowance
            )
        board = self._ctx.board
        shared.nodes = max(1, len(board.members) + len(board.remote_nodes))
        return shared

    def for_hedges(self, progress: CallProgress) -> Budget:
        """Return the budget for second attempts that run beside a slow first one."""
        hedge = progress.route.hedge
        percent = hedge.budget_percent if hedge is not None else 0.0
        return self._route_budget("hedge", progress, percent)

    def _route_budget(
        self, kind: str, progress: CallProgress, percent: float
    ) -> RetryBudget:
        key = (kind, progress.document.service, progress.route.name)
        budget = self._by_route.get(key)
        if budget is None or budget.percent != percent:
            budget = self._by_route[key] = RetryBudget(percent)
        return budget
