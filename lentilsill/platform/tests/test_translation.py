"""Tests of the translation from the platform's formats to those of the node."""

import json
import unittest

from lentilsill.documents import parse_bundle
from lentilsill.findings import FindingsError
from lentilsill.membership import UpstreamState
from lentilsill.platform.configuration import decode_configuration
from lentilsill.platform.reports import parse_report, parse_start_ms
from lentilsill.platform.settings_file import parse_platform_settings
from lentilsill.settings import QuotaSettings

from .builders import configuration, report, settings_text


class ConfigurationTests(unittest.TestCase):
    def test_hosts_and_services_are_translated_into_one_bundle(self):
        """Guards against a route whose meaning changes in the translation."""
        text = json.dumps(decode_configuration(configuration()))
        bundle = parse_bundle(text, 31).unwrap()
        self.assertEqual((bundle.version, bundle.revision), (12, 31))
        self.assertEqual(set(bundle.documents), {"a", "b", "jepu9.example"})
        plain, split = (bundle.documents["jepu9.example"].routes[i] for i in (1, 0))
        self.assertEqual([t.service for t in split.targets], ["b", "a"])
        self.assertEqual(split.targets[0].weight, 9 * split.targets[1].weight)
        self.assertTrue(split.idempotent)
        self.assertEqual((split.priority, split.objective_ms), (2, 200))
        self.assertFalse(plain.idempotent)
        self.assertEqual((plain.deadline_ms, plain.retry.max_attempts), (800, 1))
        self.assertEqual(bundle.caller_limits.idle_timeout_ms, 15000)

    def test_invalid_configurations_are_rejected(self):
        """Guards against an invalid object that comes into force in part."""
        for spec in (None, "x", {}, configuration(version="xyz"), {"version": 7}):
            with self.assertRaises(ValueError):
                decode_configuration(spec)

    def test_route_to_an_unknown_service_rejects_the_whole_bundle(self):
        """Guards against a bundle that comes into force in part (G3).

        The decoder makes no such bundle, but one that lost a document may arrive.
        """
        value = decode_configuration(configuration())
        documents = [doc for doc in value["documents"] if doc["service"] != "b"]
        text = json.dumps(value | {"documents": documents})
        findings = parse_bundle(text, 31).unwrap_err()
        self.assertEqual(findings.items[0].place, "jepu9.example.r-1")


class ReportTests(unittest.TestCase):
    def test_report_contains_state_sequence_and_start(self):
        """Guards against a leaving upstream that is treated as ready."""
        announcement = parse_report("i-1", report(state="draining")).unwrap()
        self.assertIs(announcement.record.state, UpstreamState.LEAVING)
        self.assertEqual(announcement.sequence, 4)
        self.assertEqual(announcement.started_ms, 1_700_000_000_000)

    def test_malformed_reports_are_rejected(self):
        """Guards against calls to an upstream from a malformed report."""
        for text in (
            report(state="resting"),
            report(service=7),
            report(slots="6"),
            report(born=1.5),
            report(address="127.0.0.1:70000"),
            report(address="999.1.1.1:80"),
            report(cold_left_ms=10**400),
            report(sequence=10**400),
            report(born=10**30),
            report().replace(b'"cold_left_ms": 0', b'"cold_left_ms": 1e999'),
            report(service="deep").replace(b'"deep"', b"[" * 9999 + b"]" * 9999),
            b"\xff\xfe",
            b"[]",
        ):
            self.assertTrue(parse_report("i-1", text).is_err(), text)

    def test_start_is_read_from_a_deletion(self):
        """Guards against a delayed deletion that removes the restarted upstream."""
        self.assertEqual(parse_start_ms(b'{"born": 5}').unwrap(), 5)
        for body in (b"", b"{}"):
            self.assertIsNone(parse_start_ms(body).unwrap())

    def test_deletion_that_can_not_be_read_is_an_error(self):
        """Guards against a deletion that another writer sent and that is believed."""
        for body in (b"not json", b"\xff", b"[]", b'{"born": "5"}', b'{"born": 5.5}'):
            self.assertTrue(parse_start_ms(body).is_err(), body)


class SettingsTests(unittest.TestCase):
    def test_organisations_share_slots_where_the_contracts_have_them(self):
        """Guards against a feature that is on where the platform has no tenants."""
        for contracts, is_on in (("health,tenants", True), ("pool,tenants2", False)):
            cfg = parse_platform_settings(settings_text(contracts=contracts))
            self.assertIs(cfg.calls.fair_shares, is_on)
        self.assertFalse(parse_platform_settings(settings_text()).calls.fair_shares)

    def test_fields_are_translated(self):
        """Guards against a node that serves at another address than configured."""
        cfg = parse_platform_settings(settings_text(new_field="x"))
        self.assertEqual(cfg.domains, ("lahore", "multan"))
        self.assertEqual(cfg.caller_address, "10.1.0.8:8304")
        self.assertEqual(cfg.admin_address, "10.1.0.8:7620")
        self.assertEqual(cfg.calls.retry_allowance, 56.0)
        self.assertLess(cfg.calls.drain_bound_s, 6.0)
        self.assertEqual(cfg.platform.watch_timeout_s, 1.5)

    def test_quotas_apply_only_where_the_platform_asks_for_them(self):
        """Guards against quotas with other bounds, and ones that nobody asked for."""
        bounds = {"bounds.quota_window_s": "4", "bounds.quota_slack": "30"}
        cfg = parse_platform_settings(
            settings_text(contracts="status, quota", **bounds)
        )
        expected = QuotaSettings(window_s=4.0, excess_share=0.1, excess_calls=30.0)
        self.assertEqual(cfg.quotas, expected)
        for contracts in (None, "status", "quotas"):
            text = settings_text(contracts=contracts, **bounds)
            self.assertIsNone(parse_platform_settings(text).quotas)

    def test_organisations_are_on_if_the_platform_expects_them(self):
        """Guards against a deployment without organisations that refuses its calls."""
        for contracts, expected in (
            (None, False),
            ("pool", False),
            ("a, tenants", True),
        ):
            cfg = parse_platform_settings(settings_text(contracts=contracts))
            self.assertEqual(cfg.organisations, expected)

    def test_even_load_needs_both_parts_of_the_contract(self):
        """Guards against a choice by load figures where upstreams state none."""
        for contracts, expected in (
            (None, False),
            ("health", False),
            ("pool,health,tenants", True),
            ("health, pool", True),
        ):
            cfg = parse_platform_settings(settings_text(contracts=contracts))
            self.assertIs(cfg.calls.even_load, expected)
            # It costs callers answers where inner calls make no calls themselves.
            self.assertFalse(cfg.calls.inner_slots)

    def test_missing_and_invalid_fields_are_named(self):
        """Guards against a node that starts although a field is missing or invalid."""
        for text, place in (
            (settings_text(app_addr=None), "app_addr"),
            (settings_text(zone="La hore"), "domain"),
        ):
            with self.assertRaises(FindingsError) as caught:
                parse_platform_settings(text, "boot.conf")
            self.assertEqual(caught.exception.findings.items[0].place, place)
