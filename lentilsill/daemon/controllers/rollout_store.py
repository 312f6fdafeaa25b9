"""Orders, states and statuses of roll-outs in the platform's store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import structlog
from result import Err, Ok

from lentilsill.daemon.context import Context
from lentilsill.distribution import Backoff
from lentilsill.platform import (
    Compacted,
    Conflict,
    ObjectApi,
    PlatformError,
    RateLimited,
    StoredObject,
)
from lentilsill.platform.rollouts import (
    ORDERS_KIND,
    STATES_KIND,
    is_final_status,
    parse_order,
    parse_state,
    state_to_value,
    status_value,
)
from lentilsill.rollouts import Order, RolloutState, Stage
from lentilsill.versioning import era_of

from .rollout_calls import rollout_now
from .rollouts import RolloutsController

__all__ = ["RolloutStoreController"]

RANK_CHECK_INTERVAL_S = 0.5
# A watch of this length shows often enough that the store is in reach.
MAX_WATCH_S = 1.0
# Without an order nothing is decided, and each watch counts as a call to the platform.
IDLE_WATCH_S = 10.0
# Limits the request rate if the platform returns empty watches at once.
WATCH_PAUSE_S = 0.2
BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 1.0
STATUS_CHECK_INTERVAL_S = 0.5

log = structlog.get_logger()


@dataclass(slots=True)
class _KnownOrder:
    """An order and its object."""

    order: Order
    obj: StoredObject


class RolloutStoreController:
    """Reads orders and states while this node is a decider, and writes states."""

    def __init__(
        self, ctx: Context, api: ObjectApi, rollouts: RolloutsController
    ) -> None:
        self._ctx = ctx
        self._api = api
        self._rollouts = rollouts
        self._orders: dict[str, _KnownOrder] = {}
        self._states: dict[str, tuple[int, RolloutState | None]] = {}
        self._has_states = asyncio.Event()
        # Set after the write of a state, as its status must follow within the duration.
        self._has_written = asyncio.Event()
        # Services whose stored state must be read before the next write.
        self._unsettled: set[str] = set()
        self._writing: set[str] = set()
        self._last_error = ""

    def start(self) -> None:
        """Start the reads and the writes of statuses."""
        self._rollouts.store = self._start_write
        self._ctx.spawn(
            self._follow(STATES_KIND, self._apply_state, self._apply_state_list)
        )
        self._ctx.spawn(
            self._follow(ORDERS_KIND, self._apply_order, self._apply_order_list)
        )
        self._ctx.spawn(self._write_statuses())

    async def _follow(
        self,
        kind: str,
        apply: Callable[[StoredObject], None],
        apply_list: Callable[[int, tuple[StoredObject, ...]], None],
    ) -> None:
        """List and watch a kind while this node is a decider."""
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, self._ctx.rng)
        since: int | None = None
        while True:
            if not self._rollouts.is_decider:
                since = None
                await asyncio.sleep(RANK_CHECK_INTERVAL_S)
                continue
            if kind == ORDERS_KIND and not self._has_states.is_set():
                await self._look_for_orders()
                # Without its stored state, an order would start anew.
                await self._has_states.wait()
            if kind == STATES_KIND and since is not None and not self._orders:
                # A new order makes this node read the states that have changed.
                await asyncio.sleep(RANK_CHECK_INTERVAL_S)
                continue
            started_at = rollout_now()
            error: PlatformError | None = None
            if since is None:
                match await self._api.list(kind):
                    case Ok(listing):
                        since = listing.revision
                        apply_list(listing.revision, listing.objects)
                    case Err(exc):
                        error = exc
            else:
                watch_s = MAX_WATCH_S if self._orders else IDLE_WATCH_S
                match await self._api.watch(kind, since, watch_s):
                    case Ok(batch):
                        since = batch.revision
                        for obj in batch.changes:
                            apply(obj)
                        elapsed_s = rollout_now() - started_at
                        if not batch.changes and elapsed_s < WATCH_PAUSE_S:
                            await asyncio.sleep(WATCH_PAUSE_S)
                    case Err(Compacted()):
                        since = None
                    case Err(exc):
                        error = exc
            if error is None:
                backoff.reset()
                self._last_error = ""
                if kind == STATES_KIND:
                    self._rollouts.store_read_at = started_at
            else:
                await self._wait_after(error, backoff)

    async def _look_for_orders(self) -> None:
        """Spare a started node the wait for the states if there are no orders."""
        match await self._api.list(ORDERS_KIND):
            case Ok(listing) if not listing.objects:
                self._rollouts.mark_informed()

    async def _wait_after(self, error: PlatformError, backoff: Backoff) -> None:
        self._record_error(error)
        delay_s = backoff.next_delay()
        if isinstance(error, RateLimited):
            delay_s += error.retry_after_s
        await asyncio.sleep(delay_s)

    def _record_error(self, error: PlatformError) -> None:
        self._ctx.count("rollouts.store_errors")
        if not self._last_error:
            log.warning("rollout_store_failed", error=str(error))
        self._last_error = str(error)

    # Orders

    def _apply_order_list(
        self, revision: int, objects: tuple[StoredObject, ...]
    ) -> None:
        for obj in objects:
            self._apply_order(obj)
        found = {obj.name for obj in objects}
        for service in self._orders.keys() - found:
            known = self._orders[service]
            # A store that came back from an older copy may have lost the order.
            if era_of(revision) == era_of(known.obj.version):
                self._withdraw(service, revision)
        self._rollouts.mark_informed()

    def _apply_order(self, obj: StoredObject) -> None:
        if obj.deleted:
            self._withdraw(obj.name, obj.version)
            return
        match parse_order(obj):
            case Err(reason):
                log.warning(
                    "rollout_order_rejected",
                    name=obj.name,
                    version=obj.version,
                    error=reason,
                )
            case Ok(order):
                self._orders[obj.name] = _KnownOrder(order, obj)
                stored = self._states.get(obj.name, (0, None))[1]
                if stored is not None and stored.order.identity == order.identity:
                    self._rollouts.learn_stored(stored)
                self._rollouts.learn(RolloutState(order, self._ctx.wall_ms()))

    def _withdraw(self, service: str, position: int) -> None:
        self._orders.pop(service, None)
        if self._rollouts.state(service) is None:
            return
        order = Order(service, "", 1.0, f"withdrawn/{position}", position)
        reason = "the order was deleted"
        self._rollouts.learn(RolloutState(order, 0, Stage.WITHDRAWN, reason, True))

    # States

    def _apply_state_list(
        self, revision: int, objects: tuple[StoredObject, ...]
    ) -> None:
        for obj in objects:
            self._apply_state(obj)
        found = {obj.name for obj in objects}
        for service in self._states.keys() - found:
            del self._states[service]
            self._rollouts.forget_stored(service)
        self._has_states.set()

    def _apply_state(self, obj: StoredObject) -> None:
        if obj.deleted:
            self._states.pop(obj.name, None)
            self._rollouts.forget_stored(obj.name)
            return
        known_version = self._states.get(obj.name, (0, None))[0]
        if obj.version < known_version:
            return
        match parse_state(obj):
            case Err(reason):
                # It is replaced by the next write.
                self._states[obj.name] = (obj.version, None)
                if obj.version != known_version:
                    log.warning(
                        "rollout_state_unreadable",
                        name=obj.name,
                        version=obj.version,
                        error=reason,
                    )
            case Ok(state):
                self._states[obj.name] = (obj.version, state)
                known = self._rollouts.state(obj.name)
                if known and known.order.identity == state.order.identity:
                    self._rollouts.learn_stored(state)

    def _start_write(self, state: RolloutState) -> None:
        if state.order.service not in self._writing:
            self._ctx.spawn(self._write_state(state))

    async def _write_state(self, state: RolloutState) -> None:
        service = state.order.service
        self._writing.add(service)
        try:
            if service in self._unsettled and not await self._read_state(service):
                return
            version, stored = self._states.get(service, (0, None))
            if stored is not None and not _may_replace(stored, state):
                return
            value = state_to_value(state)
            match await self._api.put(STATES_KIND, service, value, version):
                case Ok(new_version):
                    obj = StoredObject(STATES_KIND, service, new_version, value)
                    self._ctx.count("rollouts.states_written")
                    self._apply_state(obj)
                    self._has_written.set()
                case Err(exc):
                    # After a conflict or a lost answer the stored state is unknown.
                    self._unsettled.add(service)
                    if not isinstance(exc, Conflict):
                        self._record_error(exc)
                    await self._read_state(service)
        finally:
            self._writing.discard(service)

    async def _read_state(self, service: str) -> bool:
        match await self._api.get(STATES_KIND, service):
            case Ok(StoredObject() as obj):
                self._apply_state(obj)
            case Err(exc):
                self._record_error(exc)
                return False
            case _:
                self._states.pop(service, None)
        self._unsettled.discard(service)
        return True

    # Statuses

    async def _write_statuses(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(STATUS_CHECK_INTERVAL_S):
                    await self._has_written.wait()
            self._has_written.clear()
            if self._rollouts.is_decider:
                for service in list(self._orders):
                    await self._write_status(service)

    async def _write_status(self, service: str) -> None:
        """Write the status of an order if it differs from the stored state."""
        known = self._orders[service]
        stored = self._states.get(service, (0, None))[1]
        if stored is None or stored.order.identity != known.order.identity:
            return
        value = status_value(stored)
        if known.obj.status == value:
            return
        if not stored.is_outcome and is_final_status(known.obj.status):
            # Another decider may have stored the outcome since, or the status is of an
            # earlier order.
            if not await self._read_state(service):
                return
            if self._states.get(service, (0, None))[1] != stored:
                return
        match await self._api.put_status(
            ORDERS_KIND, service, value, known.obj.version
        ):
            case Ok():
                self._ctx.count("rollouts.statuses_written")
            case Err(exc):
                if not isinstance(exc, Conflict):
                    self._record_error(exc)
        match await self._api.get(ORDERS_KIND, service):
            case Ok(StoredObject() as obj):
                self._apply_order(obj)


def _may_replace(stored: RolloutState, state: RolloutState) -> bool:
    """Return whether a state may be written over the stored one."""
    if stored.order.identity != state.order.identity:
        return state.order.position > stored.order.position
    return not stored.is_outcome and state.stage > stored.stage
