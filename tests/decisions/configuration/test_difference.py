"""Differences of configuration documents have a bound for each line.

Guards against records that keep tens of kilobytes of compressed text.
"""

from cranberrymux.decisions.configuration import difference


def compute(old_text, new_text):
    return difference.compute(old_text, new_text, "old", "new")


def test_long_lines_are_cut():
    diff = compute("a" * 200_000, "b" * 200_000)
    longest = difference.MAXIMUM_LINE_CHARACTERS
    assert len(diff) < 3 * longest
    assert "-" + "a" * (longest - 1) in diff.splitlines()
    assert "+" + "b" * (longest - 1) in diff.splitlines()


def test_lines_of_usual_length_are_whole():
    line = "x" * 1000
    assert f"-{line}" in compute(f"{line}\n", "y\n").splitlines()
