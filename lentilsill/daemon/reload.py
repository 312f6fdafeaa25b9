"""Settings that change while a node runs."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import structlog

from lentilsill.findings import FindingsError
from lentilsill.settings import NodeSettings

from .context import Context

__all__ = ["LoadSettings", "SettingsReload"]

LoadSettings = Callable[[], NodeSettings]

# The file may also change without a signal.
POLL_S = 10.0
# Settings that are read at the start only.
FIXED = frozenset(
    {
        "node",
        "domain",
        "bind_ip",
        "peer_address",
        "advertise_address",
        "caller_address",
        "admin_address",
        "extra_admin_addresses",
        "documents",
        "platform",
        "statsd",
    }
)

log = structlog.get_logger()


class SettingsReload:
    """Takes new settings on SIGHUP, and when they have changed without one.

    Settings with findings change nothing. Those that are fixed at the start are
    named in the log and take effect with the next start.
    """

    def __init__(self, ctx: Context, load: LoadSettings) -> None:
        self._ctx = ctx
        self._load = load
        self._signalled = asyncio.Event()

    async def run(self) -> None:
        """Wait for signals and changes until the node stops."""
        with self._on_hangup():
            while True:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._signalled.wait(), POLL_S)
                is_signalled = self._signalled.is_set()
                self._signalled.clear()
                self._reload(is_signalled)

    def _reload(self, is_signalled: bool) -> None:
        try:
            new = self._load()
        except FindingsError as exc:
            findings = [str(finding) for finding in exc.findings]
            log.warning("settings_rejected", findings=findings)
            return
        old = self._ctx.cfg
        changed = {
            name
            for name in NodeSettings.model_fields
            if getattr(new, name) != getattr(old, name)
        }
        if not changed and not is_signalled:
            return
        fixed = sorted(changed & FIXED)
        kept = {name: getattr(old, name) for name in fixed}
        self._ctx.cfg = new.model_copy(update=kept)
        log.info("settings_reloaded", changed=sorted(changed), at_next_start=fixed)

    @contextmanager
    def _on_hangup(self) -> Iterator[None]:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._signalled.set)
        try:
            yield
        finally:
            loop.remove_signal_handler(signal.SIGHUP)
