"""Differences of configuration documents are short and computed quickly.

Guards against records that keep tens of kilobytes of compressed text, and
against replicas that answer no heartbeat while they compare two documents.
"""

import time

import pytest

from cranberrymux.decisions.configuration import difference

# A quarter of the shortest leader lease in use, 0.5 s.
MAXIMUM_STEP_S = 0.125


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


def test_a_document_of_which_half_changes_is_compared_in_a_short_step():
    """Guards against instances that lose the leader lease as they apply it."""
    lines = [f"key-{number}: value\n" for number in range(5000)]
    changed = [
        line if number % 2 else f"key-{number}: other\n"
        for number, line in enumerate(lines)
    ]
    began_s = time.process_time()
    assert compute("".join(lines), "".join(changed))
    assert time.process_time() - began_s < MAXIMUM_STEP_S


def test_equal_lines_around_many_changed_ones_are_left_out():
    same = [f"same-{number}\n" for number in range(50)]
    old = [f"old-{number}\n" for number in range(1000)]
    new = [f"new-{number}\n" for number in range(900)]
    diff = compute("".join(same + old + same), "".join(same + new + same))
    lines = diff.splitlines()
    assert lines[:3] == ["--- old", "+++ new", "@@ -51,1000 +51,900 @@"]
    assert lines[3] == "-old-0"
    assert lines[-1] == "+new-899"
    assert not any("same" in line for line in lines)


@pytest.mark.parametrize("place", [0, 2500, 4999])
def test_one_change_among_many_equal_lines_is_found_in_a_short_step(place):
    """Guards against comparing equal lines with one another."""
    lines = ["value: 1\n"] * 5000
    changed = [*lines[:place], "value: 2\n", *lines[place + 1 :]]
    began_s = time.process_time()
    diff = compute("".join(lines), "".join(changed))
    assert time.process_time() - began_s < MAXIMUM_STEP_S
    assert "+value: 2" in diff.splitlines()
