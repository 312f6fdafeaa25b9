"""Exit statuses of the command-line tool."""

from enum import IntEnum

__all__ = ["EXIT_HELP", "ExitCode"]


class ExitCode(IntEnum):
    """Exit status of a command; the command-line parser uses 2 for wrong usage."""

    OK = 0
    INVALID = 1
    CONFLICT = 3
    NOT_FOUND = 4
    UNAVAILABLE = 5
    NOT_WRITTEN = 6
    UNKNOWN = 7
    TIMEOUT = 8
    REJECTED = 9
    DIFFERENT = 10
    WARNINGS = 11


EXIT_HELP = """Exit statuses: 0 done; 1 findings in a document or in settings;
2 wrong usage; 3 conflict with another edit; 4 no such object; 5 platform or
node unavailable, nothing written; 6 answer to a write lost, and the write was
not found when read back; 7 answer lost and reading back failed; 8 wait
exceeded its bound; 9 the version waited for was rejected; 10 the stored
document, or the configuration in force, differs from the file; 11 warnings only."""
