"""Results of claimed calls whose entry node may be gone."""

from collections.abc import Callable

import msgspec

from lentilsill.outcomes import CallResult, limit_result_size
from lentilsill.wire import CALLS, Link
from lentilsill.wire.messages import Call

__all__ = ["StoreOrphanedResult", "UnacknowledgedResults"]

StoreOrphanedResult = Callable[[str, str, CallResult], None]
"""Takes request key, attempt and result."""

MAX_ANSWERED_PER_INSTANCE = 64
"""Sent results that are kept until their entry node acknowledges them."""


class UnacknowledgedResults:
    """Has the destination store a result that the entry node can't store.

    A result counts as lost when the entry node's link is closed, before or
    after the result was sent, and the entry node has not acknowledged it. A
    result stored twice does no harm: a replica keeps the first one.
    """

    def __init__(
        self, store: StoreOrphanedResult | None, max_answer_bytes: int
    ) -> None:
        self.store = store
        self.max_answer_bytes = max_answer_bytes
        # By entry instance and call id.
        self._answered: dict[str, dict[int, tuple[Call, CallResult]]] = {}

    def forget_acknowledged(self, instance: str, settled: int) -> None:
        """Forget the results that a new call of the instance acknowledges."""
        own = self._answered.get(instance)
        if own is not None:
            for call_id in [number for number in own if number <= settled]:
                del own[call_id]

    def keep_or_store(
        self, instance: str, call: Call, result: CallResult, link: Link | None
    ) -> None:
        """Store the result, or keep it while the link it is sent on is open."""
        if not call.attempt or self.store is None:
            return
        if link is None or not link.is_open:
            self.store(call.request_key, call.attempt, result)
            return
        own = self._answered.setdefault(instance, {})
        kept = msgspec.structs.replace(call, body=b"", headers=())
        own[call.call_id] = (kept, limit_result_size(result, self.max_answer_bytes))
        if len(own) > MAX_ANSWERED_PER_INSTANCE:
            del own[next(iter(own))]

    def on_link_closed(self, link: Link) -> None:
        """Store the results that the instance behind a link may not have got."""
        if link.dialed or link.hello.purpose != CALLS or self.store is None:
            return
        for call, result in self._answered.pop(link.hello.instance, {}).values():
            self.store(call.request_key, call.attempt, result)
