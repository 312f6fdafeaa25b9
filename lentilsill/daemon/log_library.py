"""Imports structlog without the parts that only a terminal needs.

structlog imports rich, if it is installed, to draw tracebacks on a terminal. A daemon
writes JSON lines; rich and what it imports take 4 MB.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["import_structlog"]

TERMINAL_PACKAGE = "rich"


@contextmanager
def _hiding(name: str) -> Iterator[None]:
    """Let imports of a package fail, as they do if it is not installed."""
    if name in sys.modules:
        yield
        return
    # The import system raises ModuleNotFoundError for a module that is None here.
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


def import_structlog() -> None:
    """Import structlog; does nothing if it was imported before."""
    with _hiding(TERMINAL_PACKAGE):
        import structlog  # noqa: F401
