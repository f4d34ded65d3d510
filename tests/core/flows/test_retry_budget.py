"""Tests of the retry budget."""

from __future__ import annotations

from cactushall_core.flows import retry_budget
from tests.core.flows import builders


def spend_all(budget, service=builders.SERVICE):
    """Spend tokens until there is none; return how many there were."""
    count = 0
    while budget.spend(service):
        count += 1
    return count


def test_retries_are_a_share_of_openings():
    budget = retry_budget.RetryBudget()
    spend_all(budget)
    for _ in range(50):
        budget.record_opening(builders.SERVICE)
    assert spend_all(budget) in (9, 10)


def test_an_idle_service_saves_a_bounded_number_of_retries():
    budget = retry_budget.RetryBudget()
    for _ in range(1000):
        budget.record_opening(builders.SERVICE)
    assert spend_all(budget) == retry_budget.MAX_TOKENS


def test_services_have_separate_budgets():
    budget = retry_budget.RetryBudget()
    spend_all(budget)
    assert budget.spend(builders.OTHER_SERVICE)
