"""Builders of test data for outcomes."""

from lentilsill.outcomes import Attempt, issue_key

__all__ = ["make_attempt", "make_instance", "make_key"]


def make_instance(number: int) -> str:
    """Return the text of an instance."""
    return f"{number:016x}"


def make_key(instances=(1, 2, 3), issued_ms: int = 1000, nonce: int = 0) -> str:
    """Return the text of a key that names the numbered instances."""
    names = [make_instance(number) for number in instances]
    return issue_key("lahore", issued_ms, names, f"{nonce:016x}")


def make_attempt(number: int, entry: int = 9) -> str:
    """Return the text of an attempt of the numbered entry instance."""
    return str(Attempt(make_instance(entry), number))
