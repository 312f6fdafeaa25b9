"""Tests that reading a bundle by lines gives the same result as parsing it whole."""

import json
import unittest
from unittest import mock

from hypothesis import given, strategies as st

from lentilsill.distribution import TextVersions
from lentilsill.documents import BundleReader, bundle_text, parse_bundle
from lentilsill.documents.input_models import BundleRouteModel, OrganisationModel

NAMES = st.sampled_from(["a", "b", "c.example"])
ROUTES = st.fixed_dictionaries(
    {
        "name": st.sampled_from(["r1", "r2", "], x"]),
        "match": st.fixed_dictionaries({"path_prefix": st.sampled_from(["/", "/x/"])}),
        "targets": st.just([{"service": "a", "upstream_set": "all"}]),
        "deadline_ms": st.sampled_from([1, 20, 0]),
    },
    optional={"is_public": st.booleans()},
)
DOCUMENTS = st.fixed_dictionaries(
    {"service": NAMES, "upstream_sets": st.just({"all": {}})},
    optional={"routes": st.lists(ROUTES, max_size=3), "requires": st.just(["x\n],"])},
)
ORGANISATIONS = st.fixed_dictionaries(
    {"name": st.sampled_from(["a", "b", "], x", "]}", '\n,"organisations":[\n'])},
    optional={
        "key_digests": st.lists(st.sampled_from(["d1", "d2", 5]), max_size=2),
        "priority": st.sampled_from([0, -1]),
        "quota": st.just({"rate_per_s": 2, "burst": 0}),
    },
)
BUNDLES = st.fixed_dictionaries(
    {"version": st.integers(-1, 9), "documents": st.lists(DOCUMENTS, max_size=3)},
    optional={
        "unknown": st.just(1),
        "organisations": st.lists(ORGANISATIONS, max_size=3) | st.none(),
    },
)


def make_route(number, deadline_ms=100):
    target = {"service": "s", "upstream_set": "all"}
    match = {"path_prefix": f"/{number}/"}
    return {
        "name": f"r{number}",
        "match": match,
        "targets": [target],
        "deadline_ms": deadline_ms,
    }


def make_bundle_value(routes, version=1):
    service = {"service": "s", "upstream_sets": {"all": {}}}
    host = {"service": "h.example", "routes": routes}
    return {"version": version, "documents": [service, host]}


class BundleTextTests(unittest.TestCase):
    @given(st.lists(BUNDLES, min_size=1, max_size=3))
    def test_reading_by_lines_equals_parsing_the_whole_text(self, values):
        """Guards against a route that is added or lost only when reading by lines.

        A string such as "], x" contains the text that ends the list of routes, and an
        organisation's name may contain the text that starts their part.
        """
        reader = BundleReader()
        for number, bundle in enumerate(values):
            text = bundle_text(bundle)
            read = reader.read(text, number)
            whole = parse_bundle(json.dumps(bundle), number)
            self.assertEqual(read.is_ok(), whole.is_ok())
            if read.is_ok():
                self.assertEqual(read.unwrap(), whole.unwrap())
            else:
                self.assertEqual(str(read.err()), str(whole.err()))

    def test_misplaced_commas_are_findings(self):
        """Guards against text that is not valid JSON but is put in force.

        The reader parses each route line by itself, so that it could overlook a
        missing or additional comma between lines.
        """
        value = make_bundle_value([make_route(1), make_route(2)])
        good = bundle_text(value)
        with_organisations = bundle_text(
            value | {"organisations": [{"name": "a"}, {"name": "b"}]}
        )
        for bad in (
            with_organisations.replace('"a"},', '"a"}'),
            with_organisations.replace('"b"}', '"b"},'),
            with_organisations.replace('"b"}', '"a"}'),
            with_organisations + "\n]}",
            good.replace("},\n{", "}\n{", 1),
            good.replace("}\n],", "},\n],", 1),
            good.replace('"version":1}', '"version":1}\n]'),
        ):
            self.assertNotIn(bad, (good, with_organisations))
            self.assertTrue(BundleReader().read(bad, 1).is_err(), bad)

    def test_only_changed_routes_are_parsed(self):
        """Guards against parsing every route again when one of them changes.

        The processor time of a change would grow with the size of the bundle.
        """
        reader = BundleReader()
        routes = [make_route(number) for number in range(50)]
        reader.read(bundle_text(make_bundle_value(routes)), 1)
        routes[7] = make_route(7, deadline_ms=200)
        text = bundle_text(make_bundle_value(routes, version=2))
        with mock.patch.object(
            BundleRouteModel,
            "model_validate_json",
            wraps=BundleRouteModel.model_validate_json,
        ) as validate:
            bundle = reader.read(text, 2).unwrap()
        self.assertEqual(validate.call_count, 1)
        self.assertEqual(bundle.documents["h.example"].routes[7].deadline_ms, 200)

    def test_equal_parts_of_routes_take_memory_once(self):
        """Guards against thousands of routes with copies of the same few objects."""
        routes = [
            {
                "name": name,
                "match": {"path_prefix": "/", "methods": ["GET"]},
                "targets": [{"service": "a", "upstream_set": "all"}],
                "deadline_ms": 20,
            }
            for name in ("r1", "r2")
        ]
        document = {"service": "a", "upstream_sets": {"all": {}}, "routes": routes}
        text = bundle_text({"version": 1, "documents": [document]})
        reader, versions = BundleReader(), TextVersions()
        bundle = reader.read(text, 1).unwrap()
        versions.keep(1, text)
        first, second = bundle.documents["a"].routes
        self.assertIs(first.targets, second.targets)
        self.assertIs(first.retry, second.retry)
        self.assertIs(first.methods, second.methods)
        kept = {id(line) for line in versions._lines[1]}
        self.assertLessEqual({id(line) for line in reader._routes}, kept)

    def test_only_changed_organisations_are_parsed(self):
        """Guards against parsing every organisation again when a key changes."""
        reader = BundleReader()
        value = make_bundle_value([])
        organisations = [{"name": f"o{n}", "key_digests": [f"d{n}"]} for n in range(50)]
        reader.read(bundle_text(value | {"organisations": organisations}), 1)
        organisations[7] = {"name": "o7", "key_digests": ["d7", "new"]}
        text = bundle_text(value | {"organisations": organisations})
        with mock.patch.object(
            OrganisationModel,
            "model_validate_json",
            wraps=OrganisationModel.model_validate_json,
        ) as validate:
            bundle = reader.read(text, 2).unwrap()
        self.assertEqual(validate.call_count, 1)
        assert bundle.organisations is not None
        self.assertIn("new", bundle.organisations["o7"].key_digests)
