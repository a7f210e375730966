"""Runs the formatter, the linter, the unit tests and the scenarios.

Tests listed in ``KNOWN-RED.txt`` are printed and not run. The last line has the form
``N passed, N failed``.
"""

import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Missing directories are omitted because ruff fails on a missing path.
SOURCES = [
    name
    for name in ("src", "tests", "features", "tools", "deploy")
    if (ROOT / name).is_dir()
]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_TEST = re.compile(r"^test: (\S+)", re.MULTILINE)
# A failed step, and the lines that give the reason.
FAILED_STEP = re.compile(r"^ .* \.\.\. (failed|error) in ")
FAILURE_REASON = re.compile(
    r"^(ASSERT FAILED|Traceback|[A-Za-z_.]*(Error|Exception)\b)"
)
SCENARIO = re.compile(r"^ *Scenario( Outline)?: ")
SCENARIO_COUNTS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed", re.MULTILINE)


def known_red_tests():
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(KNOWN_RED_TEST.findall(KNOWN_RED.read_text()))


def iterate_cases(suite):
    """Yield the individual test cases of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def run_static_checks():
    """Run the formatter check and the linter; return the number of failures."""
    commands = (
        [sys.executable, "-m", "ruff", "format", "--check", *SOURCES],
        [sys.executable, "-m", "ruff", "check", *SOURCES],
    )
    return sum(subprocess.run(c, cwd=ROOT).returncode != 0 for c in commands)


def run_unit_tests(excluded):
    """Run the unit tests except the excluded ones; return counts passed and failed."""
    loader = unittest.TestLoader()
    found = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    cases = [case for case in iterate_cases(found) if case.id() not in excluded]
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(cases))
    failed = len(result.failures) + len(result.errors)
    return result.testsRun - failed, failed


def extract_failures(output):
    """Return the failed steps in behave's output, each with its scenario and reason.

    They are repeated at the end of the output because behave's own summary lists only
    scenarios, and a long log may be truncated to its end.
    """
    found, scenario, in_failure = [], "", False
    for line in output.splitlines():
        if SCENARIO.match(line):
            scenario, in_failure = line.strip(), False
        elif FAILED_STEP.match(line):
            found += [scenario, line]
            in_failure = True
        elif in_failure and FAILURE_REASON.match(line):
            found.append(f"    {line}")
    return found


def run_scenarios():
    """Run the behave scenarios; return the counts passed and failed."""
    if not list((ROOT / "features").glob("*.feature")):
        return 0, 0
    command = [sys.executable, "-m", "behave", "--no-capture", "--format", "plain"]
    command += ["--tags", "not @known_red", "features"]
    outcome = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    print(outcome.stdout, outcome.stderr, sep="\n")
    print(*extract_failures(outcome.stdout), sep="\n")
    counts = SCENARIO_COUNTS.search(outcome.stdout)
    if counts is None:
        return 0, 1
    passed, failed = int(counts[1]), int(counts[2])
    return passed, max(failed, int(outcome.returncode != 0))


def main():
    """Run all checks and exit with status 1 if one fails."""
    excluded = known_red_tests()
    for name in sorted(excluded):
        print(f"known red, left out: {name}")
    static_failures = run_static_checks()
    unit_passed, unit_failed = run_unit_tests(excluded)
    scenarios_passed, scenarios_failed = run_scenarios()
    passed = unit_passed + scenarios_passed + (2 - static_failures)
    failed = unit_failed + scenarios_failed + static_failures
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
