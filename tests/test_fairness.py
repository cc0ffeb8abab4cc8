import pytest

from bench.fairness import BOOTH_SYNC, PHRASEBOOK, run
from bench.fairness_model import SPEEDS
from bench.fairness_policies import LeastOutstanding, Product, Rendezvous
from lycheeglade.concurrency import SharingLimit

SECONDS = 60.0


@pytest.mark.parametrize(
    "workload", [BOOTH_SYNC, PHRASEBOOK], ids=lambda workload: workload.name
)
def test_product_is_fairer_and_no_later_than_the_baselines(workload):
    product = run(Product, workload, SPEEDS, SECONDS, SharingLimit, 1)
    assert product["max/mean"] < 1.15
    assert product["free %"] < 0.1
    for baseline_type in (Rendezvous, LeastOutstanding):
        baseline = run(baseline_type, workload, SPEEDS, SECONDS, SharingLimit, 1)
        assert product["max/mean"] < baseline["max/mean"]
        assert product["late %"] <= baseline["late %"]
        assert product["p99 ms"] < baseline["p99 ms"]
