"""Settings of hypothesis that give the same verdict on every run."""

import hypothesis

DETERMINISTIC = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)

# Looks for one failing example and does not make it smaller.
SEARCHING = hypothesis.settings(
    DETERMINISTIC,
    max_examples=4000,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)
