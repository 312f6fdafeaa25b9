"""The program `lentilsilld`."""

import asyncio
import gc
import signal
from contextlib import contextmanager
from typing import Annotated

import structlog
import typer

from lentilsill.findings import FindingsError
from lentilsill.settings import NodeSettings, load_settings

from .controllers.drain import DrainController
from .integration import OWN_INTEGRATION, Integration
from .logs import configure_logs
from .node import running_node
from .reload import LoadSettings, SettingsReload

__all__ = ["main", "run_node", "serve"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# The default of 700 starts a collection about every ten calls. Records and
# documents are not cyclic, so that fewer and later collections suffice.
GC_THRESHOLDS = (20_000, 20, 50)

log = structlog.get_logger()
app = typer.Typer(pretty_exceptions_enable=False, rich_markup_mode=None)


@app.command()
def run(
    settings: Annotated[str, typer.Option(help="Settings file, JSON with comments")],
    check: Annotated[bool, typer.Option(help="Check the settings and exit")] = False,
) -> None:
    """Run a node beside its upstreams until SIGTERM or SIGINT."""
    try:
        cfg = load_settings(settings)
    except FindingsError as exc:
        for finding in exc.findings:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from exc
    if check:
        return
    run_node(cfg, reload=lambda: load_settings(settings))


def run_node(
    cfg: NodeSettings,
    integration: Integration = OWN_INTEGRATION,
    reload: LoadSettings | None = None,
) -> None:
    """Run a node in this process, which exits with status 1 when it fails.

    `reload` reads the settings again, on SIGHUP and when the file has changed.
    """
    configure_logs(cfg.log_level)
    try:
        asyncio.run(serve(cfg, integration, reload))
    except Exception as exc:
        # The traceback is written at level debug only.
        log.error("node_failed", error=f"{type(exc).__name__}: {exc}", exc_info=True)
        raise typer.Exit(EXIT_FAILED) from exc


async def serve(
    cfg: NodeSettings,
    integration: Integration = OWN_INTEGRATION,
    reload: LoadSettings | None = None,
) -> None:
    """Run a node until a signal, then drain it."""
    with _stop_signals() as stop:
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
            _tune_gc()
            await stop.wait()
            reason = await drain.run()
    log.info("node_stopped", reason=reason.value)


def _tune_gc() -> None:
    """Take what the start has made out of all later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


@contextmanager
def _stop_signals():
    """Give an event that SIGTERM and SIGINT set; repeated signals do nothing."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    signals = (signal.SIGTERM, signal.SIGINT)
    for number in signals:
        loop.add_signal_handler(number, stop.set)
    try:
        yield stop
    finally:
        for number in signals:
            loop.remove_signal_handler(number)


def main() -> None:
    """Entry point of the installed program."""
    app()


if __name__ == "__main__":
    main()
