"""Commands of the command-line tool `lentilsill`."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import typer

from lentilsill.platform import HttpObjectApi
from lentilsill.versioning import parse_position

from .checks import check_files, expand_directories
from .configuration_checks import check_configuration, is_configuration
from .dump import dump_state
from .edits import apply_document, delete_document, diff_document, show_document
from .exits import EXIT_HELP, ExitCode
from .reports import Target, print_status, wait_until_in_force, watch_status

__all__ = ["app", "main"]

REQUEST_TIMEOUT_S = 10.0
LINE_COLOURS = (
    (re.compile(r"^\+| in force everywhere$"), "green"),
    (re.compile(r"^-|^error: | rejected: |: conflict: "), "red"),
    (re.compile(r"^~|^warning: | held: |: not heard from, "), "yellow"),
)

app = typer.Typer(
    help="Edits service documents and shows which configuration is in force.",
    epilog=EXIT_HELP,
    no_args_is_help=True,
    # Without boxes, the help text is the same on a terminal and in a file.
    rich_markup_mode=None,
)

PlatformUrl = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="LENTILSILL_PLATFORM",
        help="Base URL of the platform, for example http://127.0.0.1:7000",
    ),
]
BaseVersion = Annotated[
    int | None,
    typer.Option(
        parser=parse_position,
        metavar="VERSION",
        help="Version that the edit is based on; 0: must not exist",
    ),
]


def _run_and_exit(
    url: str, run_command: Callable[[HttpObjectApi], Awaitable[ExitCode]]
) -> None:
    async def run_with_api() -> ExitCode:
        api = HttpObjectApi(url, REQUEST_TIMEOUT_S)
        try:
            return await run_command(api)
        finally:
            api.close()

    try:
        raise typer.Exit(asyncio.run(run_with_api()))
    except KeyboardInterrupt:
        raise typer.Exit(ExitCode.OK) from None


def _echo(line: str) -> None:
    """Print a line; `secho` omits the colour when the output is not a terminal."""
    typer.secho(
        line,
        fg=next(
            (colour for pattern, colour in LINE_COLOURS if pattern.search(line)), None
        ),
    )


def _read_file(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        typer.echo(f"{file}: {exc}")
        raise typer.Exit(ExitCode.INVALID) from exc


@app.command("apply")
def apply_command(
    file: Path, platform: PlatformUrl, base_version: BaseVersion = None
) -> None:
    """Write the document in FILE, unless it was edited in the meantime.

    The edit is based on the version in the comment that `get` writes. Without
    the comment and without --base-version it is based on the version that the
    platform holds now.
    """
    text = _read_file(file)
    _run_and_exit(
        platform, lambda api: apply_document(api, text, str(file), base_version, _echo)
    )


@app.command("get")
def get_command(service: str, platform: PlatformUrl) -> None:
    """Print the document of SERVICE with its version in a comment."""
    _run_and_exit(platform, lambda api: show_document(api, service, _echo))


@app.command("diff")
def diff_command(file: Path, platform: PlatformUrl) -> None:
    """Print how the document in FILE differs from the stored one."""
    text = _read_file(file)
    _run_and_exit(platform, lambda api: diff_document(api, text, str(file), _echo))


@app.command("delete")
def delete_command(
    service: str, platform: PlatformUrl, base_version: BaseVersion = None
) -> None:
    """Declare the document of SERVICE deleted."""
    _run_and_exit(
        platform, lambda api: delete_document(api, service, base_version, _echo)
    )


@app.command("status")
def status_command(
    platform: PlatformUrl,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON")] = False,
    watch: Annotated[bool, typer.Option(help="Print again on each change")] = False,
    wait: Annotated[
        str, typer.Option(help="SERVICE@VERSION to wait for, on every node")
    ] = "",
    timeout_s: Annotated[float, typer.Option(help="Bound on --wait")] = 30.0,
    domain: Annotated[
        list[str] | None,
        typer.Option(help="Domain that must report for --wait; repeatable"),
    ] = None,
) -> None:
    """Show which version of each service is in force in each domain."""
    if wait:
        try:
            target = Target.parse(wait)
        except ValueError as exc:
            raise typer.BadParameter(str(exc)) from exc
        _run_and_exit(
            platform,
            lambda api: wait_until_in_force(
                api, target, domain or [], timeout_s, _echo
            ),
        )
    show_status = watch_status if watch else print_status
    _run_and_exit(platform, lambda api: show_status(api, as_json, _echo))


@app.command("check")
def check_command(
    paths: list[Path],
    against: Annotated[
        Path | None,
        typer.Option(help="Configuration in force, to show what differs from it"),
    ] = None,
) -> None:
    """Check documents, settings and a configuration without the platform.

    PATHS are files, or directories whose .json5 and .json files are checked.
    Given several documents, the references between them are checked too. A
    configuration of the users' platform is checked alone.
    """
    if against is not None or (len(paths) == 1 and is_configuration(paths[0])):
        if len(paths) != 1:
            raise typer.BadParameter("--against needs one configuration")
        raise typer.Exit(check_configuration(paths[0], against, _echo))
    files = expand_directories(paths)
    findings = check_files(files)
    for finding in findings:
        _echo(str(finding))
    typer.echo(f"{len(files)} files, {len(findings)} findings")
    raise typer.Exit(ExitCode.INVALID if findings else ExitCode.OK)


@app.command("dump")
def dump_command(admin_address: str) -> None:
    """Print the state dump of the node at ADMIN_ADDRESS (ip:port)."""

    raise typer.Exit(asyncio.run(dump_state(admin_address, _echo)))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
