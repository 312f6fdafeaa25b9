"""The checks of API keys and quotas find a history that breaks them."""

import unittest

from harness.history import CallRecord, DocumentWrite, Execution, History, Organisation
from harness.organisation_checks import check_organisations


def make_call(
    api_key, runs_for=None, start_s=1.0, status=200, is_public=False, has_api_key=False
):
    """Return a call and its runs, of which there is none if `runs_for` is None."""
    call_id = f"{api_key}-{start_s}"
    answer = ("answer", call_id, True, api_key, is_public, status)
    call = CallRecord(call_id, "", True, start_s, start_s + 0.1, *answer)
    run = Execution(call_id, "", True, "u1", start_s + 0.05, runs_for, has_api_key)
    return call, [] if runs_for is None else [run]


def make_history(*calls):
    """Return a history in which "new" replaces "old" and the quota falls at 10 s."""
    wide, narrow = (
        (Organisation("small", (key,)), Organisation("large", ("l",), rate_per_s, 10))
        for key, rate_per_s in (("old", 20), ("new", 4))
    )
    return History(
        calls=[call for call, _ in calls],
        executions=[run for _, runs in calls for run in runs],
        writes=[
            DocumentWrite("bundle", 1, -5.0, organisations=wide),
            DocumentWrite("bundle", 2, 10.0, organisations=narrow),
        ],
    )


def make_burst(count, start_s):
    """Return runs of the organisation with a quota, within 4.9 s."""
    return [
        make_call("l", "large", start_s + 4.9 * index / count) for index in range(count)
    ]


class OrganisationCheckTests(unittest.TestCase):
    def assert_violated(self, expected, *calls):
        """Check which guarantees the findings name."""
        findings = check_organisations(make_history(*calls))
        self.assertEqual([f.place.split()[0] for f in findings], expected)

    def test_correct_history_has_no_findings(self):
        """Guards against findings for calls and refusals as they should be."""
        self.assert_violated(
            [],
            make_call("old", "small"),
            make_call("x", status=401),
            make_call("x", "", is_public=True),
            # Either version may be in force shortly after a change.
            make_call("old", "small", 12.0),
            make_call("new", status=401, start_s=12.0),
            make_call("new", "small", 12.0),
            make_call("old", status=401, start_s=13.0),
            *make_burst(141, 1.0),
            *make_burst(53, 13.0),
        )

    def test_key_at_an_upstream_is_caught(self):
        """Guards against a G10 check that misses a key in a forwarded request."""
        self.assert_violated(["G10"], make_call("old", "small", has_api_key=True))

    def test_run_with_an_unknown_key_is_caught(self):
        """Guards against a G10 check that misses a run without a known key."""
        self.assert_violated(["G10"], make_call("x", ""))
        self.assert_violated(["G10"], make_call("x", "small", is_public=True))

    def test_run_for_another_organisation_is_caught(self):
        """Guards against a G10 check that misses an organisation of another key."""
        self.assert_violated(["G10"], make_call("old", "large"))
        self.assert_violated(["G10"], make_call("old", "", is_public=True))

    def test_removed_key_is_caught(self):
        """Guards against a G11 check that misses a run with a key after its removal."""
        self.assert_violated(["G11"], make_call("old", "small", 12.6))

    def test_refused_new_key_is_caught(self):
        """Guards against a G11 check that misses a new key that is still refused."""
        self.assert_violated(["G11"], make_call("new", status=401, start_s=12.6))

    def test_calls_over_the_quota_are_caught(self):
        """Guards against a G12 check that misses calls over a quota, also a lowered."""
        self.assert_violated(["G12"], *make_burst(142, 1.0))
        self.assert_violated(["G12"], *make_burst(54, 13.0))


if __name__ == "__main__":
    unittest.main()
