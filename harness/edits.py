"""A mix of ordinary, dependent and invalid edits of documents."""

from .scenario import Run

__all__ = ["write_mixed_edit"]

INVALID_FIELDS = {"routes": 7}


async def write_mixed_edit(run: Run, index: int) -> None:
    """Write one edit; of every four, one requires a later edit and one is invalid."""
    first, second = run.scenario.services[:2]
    match index % 4:
        case 0:
            # Nodes hold the first document until the service that it requires exists.
            required_service = f"extra-{index}"
            await run.write(first, requires=(second, required_service))
            await run.write(required_service)
        case 1:
            await run.write(first, {"service": first} | INVALID_FIELDS, is_valid=False)
        case _:
            await run.write(run.rng.choice((first, second)))
