"""Tests of the description of load experiments."""

import json
import pathlib
import tempfile
import unittest

import pydantic

from monsoonline.bench.load_document import load_experiment, shipped_experiments
from monsoonline.errors import FindingsError
from tests.bench.load_fixture import FIELDS, tiny_document


class TestLoadDocument(unittest.TestCase):
    """Valid descriptions are read, others are named with their place."""

    def test_shipped_experiments_are_valid_and_named_like_their_files(self):
        names = shipped_experiments()
        self.assertIn("burst", names)
        for name in names:
            self.assertEqual(load_experiment(name).name, name)

    def test_file_with_several_faults_gives_all_findings(self):
        fields = FIELDS | {"entries": 0, "unknown": 1}
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "bad.json"
            path.write_text(json.dumps(fields))
            with self.assertRaises(FindingsError) as raised:
                load_experiment(str(path))
        places = " ".join(str(finding) for finding in raised.exception.findings)
        self.assertIn("entries", places)
        self.assertIn("unknown", places)

    def test_pattern_of_an_unknown_pool_is_refused(self):
        pattern = {"at_ms": 0.0, "duration_ms": 1.0, "share": 0.5, "pool": "q"}
        with self.assertRaisesRegex(pydantic.ValidationError, "'q' is not one of"):
            tiny_document(patterns=[{"kind": "shedding", **pattern}])

    def test_burst_of_an_unknown_route_is_refused(self):
        pattern = {"kind": "burst", "at_ms": 0.0, "duration_ms": 1.0, "factor": 2.0}
        with self.assertRaisesRegex(pydantic.ValidationError, "'write' is not one of"):
            tiny_document(patterns=[{**pattern, "route": "write"}])
