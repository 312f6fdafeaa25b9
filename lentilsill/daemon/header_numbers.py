"""Numbers in headers that other processes write."""

__all__ = ["parse_count"]

# A longer number exceeds every limit that a header is compared with.
MAX_DIGITS = 18


def parse_count(text: str) -> int | None:
    """Return a whole number of at least 0, or None if the text is none.

    A number of more than 18 digits is read as the largest one of 18.

    Examples
    --------
    >>> parse_count("17"), parse_count("-1"), parse_count("\N{SUPERSCRIPT TWO}")
    (17, None, None)
    >>> parse_count("9" * 5000) == 10**18 - 1
    True
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0") or "0"
    return int(digits) if len(digits) <= MAX_DIGITS else 10**MAX_DIGITS - 1
