"""The program `lentilsilld`."""

from typing import Annotated

import typer

from lentilsill.findings import FindingsError
from lentilsill.settings import load_settings

from .program import EXIT_BAD_SETTINGS, run_node

__all__ = ["app", "main"]

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
    raise typer.Exit(run_node(cfg, reload=lambda: load_settings(settings)))


def main() -> None:
    """Run the installed program."""
    app()


if __name__ == "__main__":
    main()
