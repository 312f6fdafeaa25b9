"""nose2 plugin that records outcomes and ends a test that hangs."""

import faulthandler
import sys

from nose2.events import Plugin, StartTestEvent, TestOutcomeEvent

__all__ = ["Recorder"]

HANG_LIMIT_S = 300


class Recorder(Plugin):
    """Keeps the ids of the tests that ran and of those that did not pass."""

    alwaysOn = True  # noqa: N815 - nose2's name
    configSection = "recorder"  # noqa: N815 - nose2's name

    ran: list[str] = []
    failed: list[str] = []

    def startTest(self, event: StartTestEvent) -> None:  # noqa: N802
        """Name the test, so that a stack dump on a hang can be assigned to it."""
        print(event.test.id(), file=sys.stderr, flush=True)
        faulthandler.dump_traceback_later(HANG_LIMIT_S, exit=True)

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record the verdict of one test."""
        faulthandler.cancel_dump_traceback_later()
        # nose2 reports each part of a test with `subTest` as an outcome too.
        if event.outcome == "subtest" and event.exc_info is None:
            return
        self.ran.append(event.test.id())
        if event.outcome != "passed":
            self.failed.append(event.test.id())
