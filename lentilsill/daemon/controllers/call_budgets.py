"""Budgets that the attempts of calls beyond the first are taken from."""

from lentilsill.daemon.context import Context
from lentilsill.retries import Budget, RetryBudget, SharedRetryBudget

from .call_progress import CallPlan

__all__ = ["CallBudgets"]


class CallBudgets:
    """Budgets of this node: by route, or by service where all nodes share one."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._by_route: dict[tuple[str, str, str], RetryBudget] = {}
        self._shared: dict[str, SharedRetryBudget] = {}

    def retry(self, plan: CallPlan, service: str) -> Budget:
        """Give the budget for repeated attempts at the upstreams of `service`."""
        cfg = self._ctx.cfg.calls
        if cfg.retry_ratio is None:
            return self._of_route("retry", plan, plan.route.retry.budget_percent)
        shared = self._shared.get(service)
        if shared is None:
            shared = self._shared[service] = SharedRetryBudget(
                cfg.retry_ratio, cfg.retry_window_s, cfg.retry_allowance
            )
        board = self._ctx.board
        shared.nodes = max(1, len(board.members) + len(board.remote_nodes))
        return shared

    def hedge(self, plan: CallPlan) -> Budget:
        """Give the budget for second attempts beside a slow first one."""
        hedge = plan.route.hedge
        percent = hedge.budget_percent if hedge is not None else 0.0
        return self._of_route("hedge", plan, percent)

    def _of_route(self, kind: str, plan: CallPlan, percent: float) -> RetryBudget:
        key = (kind, plan.document.service, plan.route.name)
        budget = self._by_route.get(key)
        if budget is None or budget.percent != percent:
            budget = self._by_route[key] = RetryBudget(percent)
        return budget
