"""How a connection of a caller ended."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["CloseReason", "ConnectionClose", "OnClosed", "ignore_close"]


class CloseReason(StrEnum):
    """Why a connection of a caller was closed."""

    CALLER = "caller"
    IDLE = "idle"
    STOP = "stop"
    REQUESTED = "requested"
    BAD_REQUEST = "bad_request"
    FAILED = "failed"
    UNREAD_ANSWERS = "unread_answers"


@dataclass(frozen=True, slots=True)
class ConnectionClose:
    """The end of one connection.

    Parameters
    ----------
    reason : CloseReason
        ``caller`` when the caller closed or reset the connection first.
    idle_s : float
        Time from the last use of the connection to its close, in seconds.
    dropped_bytes : int
        Written bytes that this process dropped when it closed the connection.
    lost_attempts : tuple of str
        Attempt ids of requests that were passed on and got no answer.
    """

    reason: CloseReason
    idle_s: float
    dropped_bytes: int = 0
    lost_attempts: tuple[str, ...] = ()


# Callback that receives each connection that has closed.
OnClosed = Callable[[ConnectionClose], None]


def ignore_close(close: ConnectionClose) -> None:
    """Do nothing; the default for `OnClosed`."""
