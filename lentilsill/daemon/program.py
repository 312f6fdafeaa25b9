"""The process of a node, from its start until it has drained."""

import asyncio
import gc
import signal
from contextlib import contextmanager

import structlog

from lentilsill.settings import NodeSettings

from .controllers.drain import DrainController
from .integration import DEFAULT_INTEGRATION, Integration
from .logs import configure_logs
from .node import running_node
from .reload import SettingsLoader, SettingsReload

__all__ = ["EXIT_BAD_SETTINGS", "EXIT_FAILED", "run_node", "serve"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# With the default threshold of 700, a collection starts about every ten calls.
# Records and documents hold no reference cycles, so fewer collections suffice.
GC_THRESHOLDS = (20_000, 20, 50)

log = structlog.get_logger()


def run_node(
    cfg: NodeSettings,
    integration: Integration = DEFAULT_INTEGRATION,
    reload: SettingsLoader | None = None,
) -> int:
    """Run a node in this process; return the exit status, 1 if the node failed.

    `reload` reads the settings again, periodically and on SIGHUP.
    """
    configure_logs(cfg.log_level)
    try:
        asyncio.run(serve(cfg, integration, reload))
    except Exception as exc:
        # The traceback is written at level debug only.
        log.error("node_failed", error=f"{type(exc).__name__}: {exc}", exc_info=True)
        return EXIT_FAILED
    return 0


async def serve(
    cfg: NodeSettings,
    integration: Integration = DEFAULT_INTEGRATION,
    reload: SettingsLoader | None = None,
) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it."""
    with _handle_stop_signals() as stop_requested:
        async with running_node(cfg, integration) as ctx:
            if reload is not None:
                ctx.spawn(SettingsReload(ctx, reload).run())
            drain = DrainController(ctx, lambda: ctx.in_flight())
            drain.start()
            log.info(
                "node_started",
                node=cfg.node,
                domain=cfg.domain,
                instance=ctx.links.identity.instance,
            )
            _configure_gc()
            await stop_requested.wait()
            reason = await drain.run()
    log.info("node_stopped", reason=reason.value)


def _configure_gc() -> None:
    """Exclude objects made during the start from all later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


@contextmanager
def _handle_stop_signals():
    """Yield an event that SIGTERM and SIGINT set; repeated signals do nothing."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    signals = (signal.SIGTERM, signal.SIGINT)
    for number in signals:
        loop.add_signal_handler(number, stop_requested.set)
    try:
        yield stop_requested
    finally:
        for number in signals:
            loop.remove_signal_handler(number)
