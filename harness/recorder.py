"""nose2 plugin that records outcomes and exits when a test hangs."""

import faulthandler
import sys

from hypothesis import find, strategies
from nose2.events import Plugin, StartTestEvent, StartTestRunEvent, TestOutcomeEvent

__all__ = ["Recorder"]

HANG_LIMIT_S = 300


class Recorder(Plugin):
    """Collects the ids of all tests that ran and of those that did not pass."""

    alwaysOn = True  # noqa: N815 - named by nose2
    configSection = "recorder"  # noqa: N815 - named by nose2

    ran: list[str] = []
    failed: list[str] = []

    def startTestRun(self, event: StartTestRunEvent) -> None:  # noqa: N802
        """Let hypothesis read the sources of all loaded modules.

        It does so at its first draw and caches the result in `.hypothesis`. In a new
        checkout this takes seconds, and the test that draws first can fail its check
        that data are generated fast.
        """
        find(strategies.text(min_size=1), bool)

    def startTest(self, event: StartTestEvent) -> None:  # noqa: N802
        """Print the test's id, so that a stack dump can be attributed to it."""
        print(event.test.id(), file=sys.stderr, flush=True)
        faulthandler.dump_traceback_later(HANG_LIMIT_S, exit=True)

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record the outcome of a test."""
        faulthandler.cancel_dump_traceback_later()
        # nose2 also reports an outcome for each `subTest`.
        if event.outcome == "subtest" and event.exc_info is None:
            return
        self.ran.append(event.test.id())
        if event.outcome != "passed":
            self.failed.append(event.test.id())
