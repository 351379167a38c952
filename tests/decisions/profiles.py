"""Settings of hypothesis that give the same verdict on every run."""

import hypothesis

DETERMINISTIC = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
