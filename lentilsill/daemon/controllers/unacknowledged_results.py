"""Results of claimed calls that their entry nodes have not acknowledged."""

from collections.abc import Callable

import msgspec

from lentilsill.outcomes import CallResult, limit_result_size
from lentilsill.wire import CALLS, Link
from lentilsill.wire.messages import Call

__all__ = ["StoreOrphanedResult", "UnacknowledgedResults"]

StoreOrphanedResult = Callable[[str, str, CallResult], None]
"""Stores a result; the arguments are request key, attempt and result."""

MAX_RESULTS_PER_INSTANCE = 64
"""Limit on sent results kept until the entry node acknowledges them."""


class UnacknowledgedResults:
    """Stores results at the destination node when the entry node can't store them.

    A result counts as lost when the entry node's link closes, before or after
    the result was sent, and the entry node has not acknowledged the result.
    Storing a result twice is harmless: a replica keeps the first one.
    """

    def __init__(
        self, store: StoreOrphanedResult | None, max_answer_bytes: int
    ) -> None:
        self.store = store
        self.max_answer_bytes = max_answer_bytes
        # Calls and their sent results, by entry instance and call id.
        self._sent_results: dict[str, dict[int, tuple[Call, CallResult]]] = {}

    def forget_acknowledged(self, instance: str, last_id: int) -> None:
        """Forget the results up to `last_id`, which a new call acknowledges."""
        results = self._sent_results.get(instance)
        if results is not None:
            for call_id in [kept for kept in results if kept <= last_id]:
                del results[call_id]

    def keep_or_store(
        self, instance: str, call: Call, result: CallResult, link: Link | None
    ) -> None:
        """Store the result, or keep it while the link it is sent on is open."""
        if not call.attempt or self.store is None:
            return
        if link is None or not link.is_open:
            self.store(call.request_key, call.attempt, result)
            return
        results = self._sent_results.setdefault(instance, {})
        stripped_call = msgspec.structs.replace(call, body=b"", headers=())
        results[call.call_id] = (
            stripped_call,
            limit_result_size(result, self.max_answer_bytes),
        )
        if len(results) > MAX_RESULTS_PER_INSTANCE:
            del results[next(iter(results))]

    def on_link_closed(self, link: Link) -> None:
        """Store the results that the entry node of a link may not have received."""
        if link.is_dialed or link.hello.purpose != CALLS or self.store is None:
            return
        for call, result in self._sent_results.pop(link.hello.instance, {}).values():
            self.store(call.request_key, call.attempt, result)
