"""Tests of the validation of table rows."""

import unittest

from monsoonline.core.documents import row_findings, tables_findings
from tests.fixtures import pool_document, route_document


class TestFindings(unittest.TestCase):
    """Findings state the path, the value and the valid values."""

    def test_all_findings_of_a_row_are_reported_at_once(self):
        document = pool_document(slots=0)
        document["colour"] = "red"
        document["max_connections"] = "many"
        findings = row_findings("pools", "quotes", document, place="pools.json")
        paths = [finding.path for finding in findings]
        self.assertCountEqual(
            paths,
            [
                "pools.quotes.upstreams[0].slots",
                "pools.quotes.max_connections",
                "pools.quotes.colour",
            ],
        )
        texts = {f.path: str(f) for f in findings}
        self.assertIn("greater than or equal to 1", texts[paths[0]])
        self.assertIn("valid: department, max_con", texts["pools.quotes.colour"])

    def test_unknown_nested_field_lists_the_fields_of_its_own_level(self):
        document = route_document(tolerance={"retry": 1})
        (finding,) = row_findings("routes", "lookup", document, place="f")
        self.assertEqual(finding.path, "routes.lookup.tolerance.retry")
        self.assertIn("hedges, queue_ms, refusal_share, retries", finding.expected)

    def test_invalid_name_and_duplicate_address(self):
        document = pool_document()
        document["upstreams"] *= 2
        findings = row_findings("pools", "Quotes!", document, place="f")
        self.assertEqual(len(findings), 2)

    def test_reference_from_a_route_to_a_missing_pool(self):
        document = {
            "routes": {"lookup": route_document(pool="qoutes")},
            "pools": {"quotes": pool_document()},
        }
        (finding,) = tables_findings(document, place="f")
        self.assertEqual(finding.path, "routes.lookup.pool")
        self.assertIn("valid: quotes", finding.expected)
