"""Lines of organisations at the end of a bundle text.

The part follows the members of the bundle that are on the line before it, so that the
text without it is the one that a bundle without organisations has. Nodes of releases
that know no organisations get that text.
"""

from collections.abc import Iterable
from typing import Any

from pydantic_core import to_json

__all__ = [
    "organisation_lines",
    "read_organisation_lines",
    "split_off_organisations",
    "without_organisations",
]

MEMBER_START = ',"organisations":'
FIRST_LINE = MEMBER_START + "["
LAST_LINE = "]}"
# A line break is never part of a JSON string, so that the text of an entry can't
# contain the start of the part.
PART_START = "\n" + MEMBER_START
# Last member of the line of a public route.
PUBLIC_MEMBER = ',"is_public":true'
PUBLIC_LINE_ENDS = (PUBLIC_MEMBER + "}", PUBLIC_MEMBER + "},")


def organisation_lines(organisations: Any) -> list[str]:
    """Return the lines of the part, the last of which ends the bundle's object.

    A value that is no list is written on one line; the finding is reported when the
    text is read.

    Examples
    --------
    >>> organisation_lines([{"name": "a"}, {"name": "b"}])
    [',"organisations":[', '{"name":"a"},', '{"name":"b"}', ']}']
    """
    if not isinstance(organisations, list):
        return [MEMBER_START + to_json(organisations).decode() + "}"]
    lines = [to_json(organisation).decode() + "," for organisation in organisations]
    if lines:
        lines[-1] = lines[-1][:-1]
    return [FIRST_LINE, *lines, LAST_LINE]


def split_off_organisations(text: str) -> tuple[str, str | None]:
    """Return a bundle text without organisations, and the part that holds them.

    The part is None in a text without organisations.

    Examples
    --------
    >>> split_off_organisations('{"version":7\\n,"organisations":[\\n]}')
    ('{"version":7}', ',"organisations":[\\n]}')
    """
    before, separator, part = text.partition(PART_START)
    return (before + "}", MEMBER_START + part) if separator else (text, None)


def read_organisation_lines(part: str) -> list[str] | None:
    """Return the entries of the part, without the commas that separate them.

    None when the part doesn't have the lines that `organisation_lines` returns.

    Examples
    --------
    >>> read_organisation_lines("\\n".join(organisation_lines([{}, {}])))
    ['{}', '{}']
    """
    first_line, *lines = part.split("\n")
    if first_line != FIRST_LINE or not lines or lines.pop() != LAST_LINE:
        return None
    if any(not line.endswith(",") for line in lines[:-1]):
        return None
    return [*(line[:-1] for line in lines[:-1]), *lines[-1:]]


def without_organisations(text: str) -> str:
    """Return a bundle text as a bundle without organisations has it.

    Examples
    --------
    >>> print(without_organisations('{"documents":[\\n{"routes":[\\n'
    ...     '{"name":"r","is_public":true}\\n]}\\n],"version":7\\n'
    ...     ',"organisations":[\\n{"name":"a"}\\n]}'))
    {"documents":[
    {"routes":[
    {"name":"r"}
    ]}
    ],"version":7}
    """
    before, part = split_off_organisations(text)
    if part is None:
        return text
    return "\n".join(_without_public_members(before.split("\n")))


def _without_public_members(lines: Iterable[str]) -> Iterable[str]:
    for line in lines:
        if line.endswith(PUBLIC_LINE_ENDS):
            head, _, end = line.rpartition(PUBLIC_MEMBER)
            line = head + end
        yield line
