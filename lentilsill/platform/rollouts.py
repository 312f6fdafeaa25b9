"""Translation of the platform's orders of roll-outs, and of their states."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from lentilsill.rollouts import Order, RolloutState, Stage

from .model import StoredObject

__all__ = [
    "ORDERS_KIND",
    "STATES_KIND",
    "is_final_status",
    "parse_order",
    "parse_state",
    "state_to_value",
    "status_value",
]

ORDERS_KIND = "rollouts"
STATES_KIND = "rollout-states"
MAX_NAME_CHARS = 255
MAX_DURATION_S = 7 * 24 * 3600.0
MAX_MS = 2**53
STATUS_NAMES = {
    Stage.CANARY: "running",
    Stage.SHIFTING: "running",
    Stage.COMPLETED: "completed",
    Stage.ROLLED_BACK: "rolled_back",
}


class _Order(BaseModel):
    model_config = ConfigDict(strict=True)

    service: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    target_version: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    duration_s: float = Field(gt=0, le=MAX_DURATION_S)


class _State(BaseModel):
    model_config = ConfigDict(strict=True)

    service: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    target_version: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    duration_s: float = Field(gt=0, le=MAX_DURATION_S)
    identity: str = Field(min_length=1, max_length=2 * MAX_NAME_CHARS)
    position: int = Field(ge=0)
    started_ms: int = Field(ge=0, le=MAX_MS)
    stage: Literal["canary", "shifting", "completed", "rolled_back"]
    reason: str = ""


def parse_order(obj: StoredObject) -> Result[Order, str]:
    """Parse an order; the error names what is wrong with it.

    An order that is written again has the same identity: the same creation, version
    and duration.

    Examples
    --------
    >>> spec = {"service": "a", "target_version": "v2", "duration_s": 30}
    >>> parse_order(StoredObject("rollouts", "a", 7, spec)).unwrap().target_version
    'v2'
    >>> parse_order(StoredObject("rollouts", "a", 7, {**spec, "service": 3})).is_err()
    True
    """
    try:
        order = _Order.model_validate(obj.value)
    except ValidationError as exc:
        return Err(_describe(exc))
    if order.service != obj.name:
        return Err(f"service: is {order.service!r}, and the object's name is different")
    identity = f"{obj.created}/{order.duration_s:g}/{order.target_version}"
    return Ok(
        Order(
            order.service,
            order.target_version,
            order.duration_s,
            identity,
            obj.version,
        )
    )


def status_value(state: RolloutState) -> dict[str, Any]:
    """Return the status that operators read at the order."""
    return {
        "state": STATUS_NAMES[state.stage],
        "target_version": state.order.target_version,
    }


def is_final_status(status: Any) -> bool:
    """Return whether the status of an order names an outcome."""
    return isinstance(status, dict) and status.get("state") in (
        STATUS_NAMES[Stage.COMPLETED],
        STATUS_NAMES[Stage.ROLLED_BACK],
    )


def state_to_value(state: RolloutState) -> dict[str, Any]:
    """Return the stored form of a state."""
    order = state.order
    return {
        "service": order.service,
        "target_version": order.target_version,
        "duration_s": order.duration_s,
        "identity": order.identity,
        "position": order.position,
        "started_ms": state.started_ms,
        "stage": state.stage.name.lower(),
        "reason": state.reason,
    }


def parse_state(obj: StoredObject) -> Result[RolloutState, str]:
    """Parse a stored state; the error names what is wrong with it."""
    try:
        value = _State.model_validate(obj.value)
    except ValidationError as exc:
        return Err(_describe(exc))
    order = Order(
        value.service,
        value.target_version,
        value.duration_s,
        value.identity,
        value.position,
    )
    stage = Stage[value.stage.upper()]
    return Ok(RolloutState(order, value.started_ms, stage, value.reason, True))


def _describe(exc: ValidationError) -> str:
    return "; ".join(
        f"{'.'.join(str(part) for part in error['loc']) or 'object'}: {error['msg']}"
        for error in exc.errors(include_url=False, include_input=False)
    )
