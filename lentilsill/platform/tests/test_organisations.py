"""Tests of organisations in the platform's configuration."""

import copy
import json
import unittest
from typing import Any

import structlog

from lentilsill.documents import (
    BundleReader,
    Organisation,
    Quota,
    bundle_text,
    key_digest,
    parse_bundle,
    without_organisations,
)
from lentilsill.platform.configuration import ConfigurationDecoder, decode_configuration

from .builders import configuration

SECRET = "secret-key-of-acme"


def tenant(name="acme", **fields):
    return {"name": name, "api_keys": [SECRET], **fields}


def with_public_route(**fields):
    """Return a configuration whose first route is public."""
    spec = copy.deepcopy(configuration(**fields))
    spec["virtual_hosts"][0]["path_routes"][0]["public"] = True
    return spec


def read(spec):
    """Return the organisations of a configuration, read in both ways."""
    text = bundle_text(decode_configuration(spec))
    bundle = parse_bundle(text, 31).unwrap()
    if BundleReader().read(text, 31).unwrap() != bundle:
        raise AssertionError("the readers differ")
    return bundle.organisations


class OrganisationTests(unittest.TestCase):
    def test_members_are_translated(self):
        """Guards against an organisation whose meaning changes in the translation."""
        value = tenant(priority=3, rate_per_s=20, burst=7.5)
        digests = (key_digest(SECRET.encode()),)
        expected = Organisation("acme", digests, 3, Quota(20.0, 7.5))
        self.assertEqual(read(configuration(tenants=[value])), {"acme": expected})
        self.assertEqual(read(configuration(tenants=[])), {})
        self.assertIsNone(read(configuration()))

    def test_text_and_log_hold_no_key(self):
        """Guards against keys that peers, logs and statuses get to know."""
        odd_tenants = [
            tenant(),
            tenant("other", api_keys=[SECRET, SECRET, 7, "", SECRET + "\ud800", None]),
            tenant("odd", api_keys=SECRET),
            tenant("odd-2", rate_per_s=SECRET, burst=SECRET, priority=SECRET),
            tenant(name=SECRET + "\n"),
            tenant(name=[SECRET]),
            SECRET,
            [SECRET],
        ]
        with structlog.testing.capture_logs() as logs:
            value = decode_configuration(configuration(tenants=odd_tenants))
            decode_configuration(configuration(tenants=SECRET))
        self.assertTrue(logs)
        self.assertNotIn(SECRET, repr(logs) + bundle_text(value))

    def test_unusual_entries_leave_the_others_in_force(self):
        """Guards against one odd entry that locks all callers out."""
        cases = (
            [tenant(), tenant("second")],
            [tenant(), tenant(api_keys=["k2"])],
            [tenant(), 7, None, {}, {"name": ""}, {"name": "a\r\nb: c"}, {"name": 5}],
            [tenant(api_keys=[5, SECRET, None, {}])],
            *([tenant(rate_per_s=rate)] for rate in ("x", -1, True, 10**400, 0)),
            [tenant(rate_per_s=float("inf"), burst=[])],
            [tenant(priority=2.5)],
        )
        digest = key_digest(SECRET.encode())
        for tenants in cases:
            with self.subTest(tenants=tenants):
                organisations = read(configuration(tenants=tenants))
                owners = [
                    name
                    for name, organisation in organisations.items()
                    if digest in organisation.key_digests
                ]
                self.assertEqual(owners, ["acme"])
                self.assertIsNone(organisations["acme"].quota)
                self.assertIsNone(organisations["acme"].priority)

    def test_white_space_around_a_key_does_not_count(self):
        """Guards against a key that no caller can send: headers lose the space."""
        padded = tenant(api_keys=[f" {SECRET}\t"])
        organisations = read(configuration(tenants=[padded]))
        digests = organisations["acme"].key_digests
        self.assertEqual(digests, (key_digest(SECRET.encode()),))
        organisations = read(configuration(tenants=[tenant(api_keys=[" "])]))
        self.assertEqual(organisations["acme"].key_digests, ())

    def test_organisation_without_keys_is_known(self):
        """Guards against a missing list of keys that invalidates the entry."""
        unreadable: tuple[Any, ...] = ([], None, "k")
        for keys in unreadable:
            organisations = read(configuration(tenants=[tenant(api_keys=keys)]))
            self.assertEqual(organisations["acme"].key_digests, ())

    def test_unreadable_list_invalidates_the_version(self):
        """Guards against a damaged list that admits calls without a key."""
        unreadable: tuple[Any, ...] = (None, {}, "x", 5)
        for tenants in unreadable:
            text = bundle_text(decode_configuration(configuration(tenants=tenants)))
            for result in (parse_bundle(text, 3), BundleReader().read(text, 3)):
                [finding] = result.unwrap_err()
                self.assertEqual(finding.place, "organisations")
            plain = bundle_text(decode_configuration(configuration()))
            self.assertEqual(without_organisations(text), plain)

    def test_text_without_organisations_is_that_of_earlier_releases(self):
        """Guards against patches between releases that give another text."""
        plain = bundle_text(decode_configuration(configuration()))
        self.assertNotIn("is_public", plain)
        self.assertEqual(bundle_text(decode_configuration(with_public_route())), plain)
        for count in range(3):
            tenants = [tenant(f"t{number}") for number in range(count)]
            text = bundle_text(decode_configuration(with_public_route(tenants=tenants)))
            self.assertIn("is_public", text)
            self.assertEqual(without_organisations(text), plain)

    def test_routes_are_public_only_if_marked(self):
        """Guards against a route that is open to callers without a key by mistake."""
        for mark, is_public in ((True, True), (False, False), ("true", False)):
            spec = with_public_route(tenants=[])
            spec["virtual_hosts"][0]["path_routes"][0]["public"] = mark
            text = json.dumps(decode_configuration(spec))
            bundle = parse_bundle(text, 3).unwrap()
            route, other = bundle.documents["jepu9.example"].routes
            self.assertEqual((route.is_public, other.is_public), (is_public, False))

    def test_downloads_are_idempotent(self):
        """Guards against downloads that are not repeated after a lost answer."""
        spec = configuration()
        spec["virtual_hosts"][0]["path_routes"][1]["kind"] = "download"
        bundle = parse_bundle(json.dumps(decode_configuration(spec)), 3).unwrap()
        self.assertTrue(bundle.documents["jepu9.example"].routes[1].idempotent)

    def test_changed_key_changes_one_line(self):
        """Guards against updates whose size grows with the number of organisations."""
        tenants = [tenant(f"t{n}", api_keys=[f"k{n}"]) for n in range(500)]
        decoder = ConfigurationDecoder()
        before = bundle_text(decoder(configuration(tenants=tenants))).split("\n")
        tenants[7] = tenant("t7", api_keys=["k7", "new"])
        after = bundle_text(decoder(configuration(tenants=tenants))).split("\n")
        changed = [a for a, b in zip(before, after, strict=True) if a != b]
        self.assertEqual(len(changed), 1)
