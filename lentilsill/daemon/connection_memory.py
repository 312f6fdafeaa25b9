"""Bytes that the connections of callers hold in this process."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .connection_close import CloseReason
from .held_bytes import HeldBytes

if TYPE_CHECKING:
    from .pipelining import PipelinedConnection

__all__ = ["ConnectionMemory"]


@dataclass(eq=False, slots=True)
class _UnreadInput:
    """Bytes that have arrived and are not read yet, such as an incomplete head."""

    conn: "PipelinedConnection"

    def drop_held_bytes(self) -> None:
        self.conn.refuse_unread()


@dataclass(eq=False, slots=True)
class _UnsentAnswers:
    """Bytes of answers that the caller has not read."""

    conn: "PipelinedConnection"

    @property
    def held_byte_count(self) -> int:
        return self.conn.unsent_answer_bytes

    def drop_held_bytes(self) -> None:
        self.conn.abort(CloseReason.UNREAD_ANSWERS)


class ConnectionMemory:
    """Counts the bytes of one connection within the bounds of the process.

    Parameters
    ----------
    conn : PipelinedConnection
    input_bytes : HeldBytes
        Bound on the unread bytes of all connections.
    answer_bytes : HeldBytes
        Bound on answers that upstreams send and those that callers don't read.
    """

    def __init__(
        self,
        conn: "PipelinedConnection",
        input_bytes: HeldBytes,
        answer_bytes: HeldBytes,
    ) -> None:
        self._input_bytes = input_bytes
        self._answer_bytes = answer_bytes
        self._unread_input = _UnreadInput(conn)
        self._unsent_answers = _UnsentAnswers(conn)
        # Bytes that arrived before a close can be read after it.
        self._is_released = False

    def set_unread_size(self, size: int) -> None:
        """Count the unread bytes of the connection."""
        if not self._is_released:
            self._input_bytes.set_size(self._unread_input, size)

    def measure_unsent(self) -> None:
        """Count the answers that the caller has not read."""
        if not self._is_released:
            self._answer_bytes.measure(self._unsent_answers)

    def release(self) -> None:
        """Count the connection no more, since it has closed."""
        self._is_released = True
        self._input_bytes.remove(self._unread_input)
        self._answer_bytes.remove(self._unsent_answers)
