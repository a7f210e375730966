"""Small load experiments for tests."""

from monsoonline.bench.load_document import LoadDocument
from monsoonline.bench.load_experiment import LoadExperiment

FIELDS = {
    "name": "tiny",
    "entries": 4,
    "failure_domains": ["a", "b"],
    "duration_ms": 1_000.0,
    "pools": [{"name": "p", "targets": 6, "slots": 3}],
    "routes": [
        {
            "name": "read",
            "pool": "p",
            "idempotent": True,
            "priority": 1,
            "requests_per_second": 60.0,
            "work_ms": 60.0,
            "goal_ms": 200.0,
            "deadline_ms": 800.0,
        },
        {
            "name": "book",
            "pool": "p",
            "idempotent": False,
            "requests_per_second": 30.0,
            "work_ms": 80.0,
            "goal_ms": 250.0,
            "deadline_ms": 800.0,
            "worth": 2.0,
        },
    ],
}


def tiny_document(**changes):
    return LoadDocument.model_validate(FIELDS | changes)


def run_tiny(*, policy="present", seed=1, **changes):
    document = tiny_document(**changes)
    return LoadExperiment(document=document, policy=policy, seed=seed).run()
