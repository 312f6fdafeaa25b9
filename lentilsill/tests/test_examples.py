"""Runs the examples in the docstrings of the package."""

import doctest
import importlib
import pkgutil
import unittest

import lentilsill


def load_tests(loader, tests, pattern):
    """Collect one test per docstring that has examples."""
    suite = unittest.TestSuite()
    for info in pkgutil.walk_packages(lentilsill.__path__, "lentilsill."):
        if ".tests" not in info.name:
            suite.addTest(doctest.DocTestSuite(importlib.import_module(info.name)))
    return suite
