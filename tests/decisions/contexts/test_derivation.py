"""Guards against calls that outlive their caller or never end.

That happens when a child call gets more time than its parent has left, when a
loop of calls is not stopped, or when marks that belong to one call are
inherited by its children.
"""

import hypothesis
from hypothesis import strategies

from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import context_fault
from cranberrymux.decisions.contexts import context_settings
from cranberrymux.decisions.contexts import derivation
from cranberrymux.models import request_context
from tests import profiles

PARENT = request_context.RequestContext(
    "id", "1", "ann", 1000, 2, 77, 5, 3, True, True
)


def test_child_inherits_request_fields_but_no_call_marks():
    child = derivation.child_context(PARENT, 4, 100.5, 2)
    assert child == request_context.RequestContext(
        "id", "1.4", "ann", 894, 2, 77, 2, 1, False, False
    )
    assert child.priority == PARENT.priority


@profiles.DETERMINISTIC
@hypothesis.given(
    strategies.lists(strategies.floats(-10, 300), min_size=1, max_size=15)
)
def test_timeout_decreases_by_the_margin_on_each_hop(elapsed):
    context = PARENT
    for elapsed_ms in elapsed:
        child = derivation.child_context(context, 1, elapsed_ms, 0)
        assert 0 <= child.timeout_ms <= max(context.timeout_ms - 5, 0)
        context = child


def test_call_below_the_maximum_depth_is_too_deep():
    settings = context_settings.ContextSettings(maximum_depth=3)
    context = PARENT
    for _ in range(2):
        context = derivation.child_context(context, 1, 0, 0, settings)
    error = derivation.child_context(context, 1, 0, 0, settings)
    assert isinstance(error, context_error.ContextError)
    assert error.reason is context_fault.ContextFault.TOO_DEEP


def test_next_attempt_changes_only_time_budget_and_number():
    retry = derivation.next_attempt(PARENT, 300.0, 4)
    assert retry == PARENT._replace(timeout_ms=700, retry_budget=4, attempt=4)
