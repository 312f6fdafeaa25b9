"""Reload of settings while a node runs."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import structlog

from lentilsill.findings import FindingsError
from lentilsill.settings import NodeSettings

from .context import Context

__all__ = ["SettingsLoader", "SettingsReload"]

SettingsLoader = Callable[[], NodeSettings]

# The file may change without a signal, so it is also read at this interval.
POLL_INTERVAL_S = 10.0
# Settings that are read only at the start.
STARTUP_ONLY = frozenset(
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
        "organisations",
        "platform",
        "statsd",
    }
)

log = structlog.get_logger()


class SettingsReload:
    """Applies changed settings, on SIGHUP or when the file has changed.

    Settings with findings change nothing. Changes of settings that are read only at
    the start are logged, and take effect at the next start.
    """

    def __init__(self, ctx: Context, load: SettingsLoader) -> None:
        self._ctx = ctx
        self._load = load
        self._sighup_received = asyncio.Event()

    async def run(self) -> None:
        """Reload at each signal and interval until the node stops."""
        with self._handle_sighup():
            while True:
                with suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._sighup_received.wait(), POLL_INTERVAL_S
                    )
                is_signalled = self._sighup_received.is_set()
                self._sighup_received.clear()
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
        deferred = sorted(changed & STARTUP_ONLY)
        kept = {name: getattr(old, name) for name in deferred}
        self._ctx.cfg = new.model_copy(update=kept)
        log.info("settings_reloaded", changed=sorted(changed), at_next_start=deferred)

    @contextmanager
    def _handle_sighup(self) -> Iterator[None]:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._sighup_received.set)
        try:
            yield
        finally:
            loop.remove_signal_handler(signal.SIGHUP)
            # By default, the signal would end the process before its exit.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
