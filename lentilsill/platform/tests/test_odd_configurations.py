"""Configurations that the platform accepts are represented as a whole."""

import copy
import json
import random
import unittest
from typing import Any

import structlog

from lentilsill.documents import BundleReader, bundle_text, parse_bundle
from lentilsill.platform.configuration import ConfigurationDecoder, decode_configuration
from lentilsill.routing import RouteIndex, choose_target
from lentilsill.versioning import Snapshot

from .builders import configuration

# Value of a field that is no number or text, and entries that are no objects.
UNREADABLE: tuple[Any, ...] = (None, "x", [], {}, -1, 1e999)


def read(spec):
    """Return the bundle of a configuration, read in both ways."""
    text = bundle_text(decode_configuration(spec))
    bundle = parse_bundle(text, 31).unwrap()
    if BundleReader().read(text, 31).unwrap() != bundle:
        raise AssertionError("the readers differ")
    return bundle


def find(bundle, host, path):
    """Return the route that a request takes."""
    snapshot = Snapshot(bundle.documents, 31, None, bundle.hosts)
    document = snapshot.find_routes(host)
    return document and RouteIndex(document).match("GET", path)


def with_route(**fields):
    """Return a configuration whose first route has these fields."""
    spec = configuration()
    spec["virtual_hosts"][0]["path_routes"][0] |= fields
    return spec


class OddConfigurationTests(unittest.TestCase):
    def test_host_with_the_name_of_a_service_rejects_the_version(self):
        """Both names stood for documents of one name space."""
        spec = configuration()
        route = spec["virtual_hosts"][0]["path_routes"][1]
        for services in (spec["services"], spec["services"][::-1]):
            host = {"host": "a", "path_routes": [route | {"path_prefix": "/new/"}]}
            bundle = read(spec | {"services": services, "virtual_hosts": [host]})
            self.assertEqual(find(bundle, "a", "/new/1").name, "r-2")
            self.assertEqual(bundle.documents["a"].limits.slots_per_upstream, 110)
            self.assertIn("all", bundle.documents["a"].upstream_sets)

    def test_caller_reaches_a_service_by_its_name_as_the_host(self):
        bundle = read(configuration())
        for host in ("a", "b"):
            self.assertIsNone(find(bundle, host, "/p/1"))
        self.assertIsNotNone(find(bundle, "jepu9.example", "/p/1"))

    def test_hosts_that_differ_in_letter_case_reject_the_version(self):
        spec = configuration()
        first = spec["virtual_hosts"][0]
        more = [first["path_routes"][1] | {"name": "r-3", "path_prefix": "/more/"}]
        other = {"host": "JEPU9.example", "path_routes": more}
        bundle = read(spec | {"virtual_hosts": [first, other]})
        self.assertEqual(find(bundle, "jepu9.example", "/more/1").name, "r-3")
        self.assertEqual(find(bundle, "jepu9.example", "/p/1").name, "r-1")

    def test_name_that_is_no_host_name_rejects_the_version(self):
        for host in ("*.example", "[::1]", "a b", "ä.example", "a/b", "", "x" * 300):
            spec = configuration()
            spec["virtual_hosts"][0]["host"] = host
            with self.subTest(host=host[:20]):
                self.assertEqual(find(read(spec), host, "/p/1").name, "r-1")
        for service in ("My Service", "svc/1", "é", "x" * 300):
            spec = configuration()
            spec["services"][0]["name"] = service
            for route in spec["virtual_hosts"][0]["path_routes"]:
                route |= {"weighted_split": None, "service": service}
            with self.subTest(service=service[:20]):
                found = find(read(spec), "jepu9.example", "/p/1")
                self.assertEqual(found.targets[0].service, service)

    def test_figure_beyond_the_limits_of_documents_rejects_the_version(self):
        for fields, expected in (
            ({"timeout_ms": 0.4}, ("deadline_ms", 1)),
            ({"timeout_ms": 1_000_000}, ("deadline_ms", 1_000_000)),
            ({"timeout_ms": 1e300}, ("deadline_ms", 2**31 - 1)),
            ({"target_latency_ms": 10_000_000}, ("objective_ms", 10_000_000)),
            ({"target_latency_ms": -1}, ("objective_ms", 0)),
            ({"priority": 5000}, ("priority", 5000)),
            ({"priority": 1.0}, ("priority", 1)),
            ({"name": "x" * 1000}, ("name", "x" * 1000)),
        ):
            with self.subTest(**{k: str(v)[:20] for k, v in fields.items()}):
                route = find(read(with_route(**fields)), "jepu9.example", "/p/1")
                self.assertEqual(getattr(route, expected[0]), expected[1])
        for attempts, expected_attempts in ((0, 1), (20, 10), (10**30, 10)):
            route = find(
                read(with_route(max_attempts=attempts)), "jepu9.example", "/p/1"
            )
            self.assertEqual(route.retry.max_attempts, expected_attempts)
        for count in (0, 1_000_000, 10**30):
            spec = configuration()
            spec["services"][0]["max_connections"] = count
            slots = read(spec).documents["a"].limits.slots_per_upstream
            self.assertEqual(slots, max(1, min(count, 100_000)))

    def test_weights_lose_their_proportions(self):
        for weights in ((90_000, 10_000), (9e9, 1e9), (0.0009, 0.0001), (0.9, 0.1)):
            names = ("b", "a")
            split = [
                {"service": name, "weight": weight}
                for name, weight in zip(names, weights, strict=True)
            ]
            bundle = read(with_route(weighted_split=split))
            first, second = find(bundle, "jepu9.example", "/p/1").targets
            with self.subTest(weights=weights):
                self.assertAlmostEqual(first.weight / second.weight, 9, delta=0.01)

    def test_prefix_that_no_path_has_rejects_the_version(self):
        for prefix in ("p", "", "/a b/", "/a?b/", "/" + "x" * 2000 + "/"):
            bundle = read(with_route(path_prefix=prefix))
            self.assertIsNotNone(find(bundle, "jepu9.example", "/q/1"))
        long_path = "/" + "x" * 2000 + "/1"
        self.assertIsNotNone(find(bundle, "jepu9.example", long_path))

    def test_unreadable_route_rejects_the_version_or_opens_another_way(self):
        """Without the route, a shorter prefix would lead to another service."""
        spec = configuration()
        routes = spec["virtual_hosts"][0]["path_routes"]
        routes.append(routes[1] | {"name": "r-0", "path_prefix": "/"})
        for field in ("name", "kind", "timeout_ms", "service", "max_attempts"):
            for value in UNREADABLE:
                odd = copy.deepcopy(spec)
                odd["virtual_hosts"][0]["path_routes"][1][field] = value
                bundle = read(odd)
                with self.subTest(field=field, value=value):
                    self.assertEqual(find(bundle, "jepu9.example", "/p/1").name, "r-1")
                    self.assertEqual(find(bundle, "jepu9.example", "/x").name, "r-0")
                    route = find(bundle, "jepu9.example", "/q/1")
                    self.assertEqual(route.path_prefix, "/q/")
                    if route.name == "unreadable":
                        rng = random.Random(1)
                        self.assertIsNone(choose_target(route.targets, rng))

    def test_unreadable_route_rejects_a_later_version_without_its_service(self):
        """What stood for the route referred to a service that is gone."""
        decoder = ConfigurationDecoder()
        spec = with_route(timeout_ms=None)
        parse_bundle(json.dumps(decoder(spec)), 31).unwrap()
        for route in spec["virtual_hosts"][0]["path_routes"][1:]:
            route["service"] = "b"
        spec["services"] = spec["services"][1:]
        parse_bundle(json.dumps(decoder(spec)), 32).unwrap()
        self.assertEqual(len(decoder.findings), 1)

    def test_route_to_an_unknown_service_rejects_the_version(self):
        """It refuses its requests; a share of a split leaves them to the others."""
        one = [{"service": "nope", "weight": 1}]
        for split, expected in (
            (one, None),
            ([*one, {"service": "a", "weight": 1}], "a"),
        ):
            decoder = ConfigurationDecoder()
            for _ in range(2):
                bundle = parse_bundle(
                    json.dumps(decoder(with_route(weighted_split=split))), 31
                ).unwrap()
                route = find(bundle, "jepu9.example", "/p/1")
                target = choose_target(route.targets, random.Random(1))
                with self.subTest(split=split):
                    self.assertEqual(target and target.service, expected)
                    self.assertEqual(len(decoder.findings), 1)
                    self.assertIn("'nope'", decoder.findings[0])
                    other = find(bundle, "jepu9.example", "/q/1")
                    self.assertEqual(other.name, "r-2")

    def test_service_whose_name_is_unreadable_rejects_the_version(self):
        """Routes that lead to it refuse their requests."""
        decoder = ConfigurationDecoder()
        parse_bundle(json.dumps(decoder(configuration())), 31).unwrap()
        spec = configuration()
        spec["services"][0]["name"] = 5
        bundle = parse_bundle(json.dumps(decoder(spec)), 32).unwrap()
        self.assertIn("services.0.name", decoder.findings[0])
        self.assertEqual(list(bundle.documents["b"].upstream_sets), ["all"])
        rng = random.Random(1)
        for path, service in (("/p/1", "b"), ("/q/1", None)):
            route = find(bundle, "jepu9.example", path)
            target = choose_target(route.targets, rng)
            self.assertEqual(target and target.service, service)

    def test_text_that_has_no_encoding_rejects_the_version(self):
        """JSON can name half of a surrogate pair."""
        half = "\ud800"
        odd_service = configuration()
        odd_service["services"].append({"name": half})
        odd_host = configuration()
        odd_host["virtual_hosts"].append({"host": half, "path_routes": []})
        for spec in (odd_service, odd_host, with_route(name=half), with_route(x=half)):
            bundle = read(spec)
            self.assertEqual(find(bundle, "jepu9.example", "/q/1").name, "r-2")

    def test_routes_that_have_no_encoding_are_taken_for_each_other(self):
        """Translated routes are kept by the text of their JSON."""
        decoder = ConfigurationDecoder()
        decoder(with_route(x="\ud800", path_prefix="/first/"))
        value = decoder(with_route(x="\ud800", path_prefix="/second/"))
        bundle = parse_bundle(json.dumps(value), 31).unwrap()
        self.assertIsNone(find(bundle, "jepu9.example", "/first/1"))
        self.assertIsNotNone(find(bundle, "jepu9.example", "/second/1"))

    def test_largest_weights_reject_the_version(self):
        split = [{"service": name, "weight": 1.7e308} for name in ("a", "b")]
        targets = find(
            read(with_route(weighted_split=split)), "jepu9.example", "/p/1"
        ).targets
        self.assertEqual(targets[0].weight, targets[1].weight)

    def test_missing_limits_reject_the_version(self):
        values: tuple[Any, ...] = (None, [], "x")
        for limits in values:
            bundle = read(configuration(limits=limits))
            self.assertGreater(bundle.caller_limits.idle_timeout_ms, 0)

    def test_unreadable_entry_rejects_the_version(self):
        """The log names the entry, and the others are in force."""
        for place in ("services", "virtual_hosts"):
            for entry in UNREADABLE:
                spec = configuration()
                spec[place] = [*spec[place], entry]
                decoder = ConfigurationDecoder()
                with structlog.testing.capture_logs() as logs:
                    value = decoder(spec)
                    decoder(spec)
                with self.subTest(place=place, entry=entry):
                    bundle = parse_bundle(json.dumps(value), 31).unwrap()
                    self.assertIsNotNone(find(bundle, "jepu9.example", "/p/1"))
                    # The same findings are logged once.
                    self.assertEqual(len(logs), 1)
                    last = len(spec[place]) - 1
                    self.assertIn(f"{place}.{last}", logs[0]["findings"][0])

    def test_unreadable_limits_reject_the_version(self):
        for value in UNREADABLE:
            limits = configuration()["limits"] | {"idle_timeout_ms": value}
            bundle = read(configuration(limits=limits))
            self.assertEqual(bundle.caller_limits.max_header_bytes, 16384)
            self.assertGreater(bundle.caller_limits.idle_timeout_ms, 0)

    def test_usual_configuration_has_another_text_than_before(self):
        """Nodes of two releases patch the text of each other."""
        text = bundle_text(decode_configuration(configuration()))
        self.assertIn('"weight":9000', text)
        self.assertIn('"service":"jepu9.example"', text)
        self.assertNotIn("host", text.replace("virtual_hosts", ""))
