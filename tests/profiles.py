"""Hypothesis settings that give the same verdict on every run."""

import hypothesis

DETERMINISTIC = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)

# Stops at the first failing example and does not shrink it.
SEARCHING = hypothesis.settings(
    DETERMINISTIC,
    max_examples=4000,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)
