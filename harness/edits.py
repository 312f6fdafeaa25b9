"""Edits of documents that are hard to spread in order."""

from .scenario import Run

__all__ = ["write_mixed_edit"]

BAD = {"routes": 7}


async def write_mixed_edit(run: Run, turn: int) -> None:
    """Make one edit; of four in turn, one needs a later one and one is invalid."""
    first, second = run.scenario.services[:2]
    match turn % 4:
        case 0:
            # The first is held until the service that it requires exists.
            extra = f"extra-{turn}"
            await run.write(first, requires=(second, extra))
            await run.write(extra)
        case 1:
            await run.write(first, {"service": first} | BAD, is_valid=False)
        case _:
            await run.write(run.rng.choice((first, second)))
