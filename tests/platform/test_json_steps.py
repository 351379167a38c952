"""A JSON text is decoded in steps as it is at once.

Guards against a configuration that is read differently for its size, and
against an invalid one that is accepted.
"""

import json
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.models import json_steps
from cranberrymux.models import steps
from cranberrymux.models import strict_json
from tests import new_process
from tests import profiles
from tests import stopwatch

MAXIMUM_STEP_S = 0.1

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=4
        )
    ),
)


def load(text):
    return steps.finish(json_steps.load_in_steps(text))


@hypothesis.given(VALUES, strategies.sampled_from([None, 1]))
def test_valid_text_is_decoded_as_by_the_library(value, indent):
    assert load(json.dumps(value, indent=indent)) == value


@hypothesis.given(
    VALUES, strategies.integers(0, 200), strategies.sampled_from(',:[]{}" 1a')
)
def test_text_with_another_character_is_decoded_as_by_the_library(
    value, place, character
):
    text = json.dumps(value)
    text = text[:place] + character + text[place + 1 :]
    try:
        expected = strict_json.load(text)
    except ValueError:
        with pytest.raises(ValueError, match="char"):
            load(text)
    else:
        assert load(text) == expected


@pytest.mark.parametrize(
    "text", ["", "[1,]", "[,1]", '{"a":1,}', "{1:2}", "[1] 2", '{"a"}', "[1 2]"]
)
def test_invalid_text_is_an_error(text):
    with pytest.raises(ValueError, match="char"):
        load(text)


@pytest.mark.parametrize("text", ['{"a":1,"a":1}', '[{"a":[{"b":1,"b":2}]}]'])
def test_two_members_of_one_name_are_an_error(text):
    with pytest.raises(ValueError, match="one name"):
        load(text)


def test_many_short_lists_are_decoded_in_steps():
    text = json.dumps([[[1] * 100] * 10] * 10)
    count = sum(1 for _ in json_steps.load_in_steps(text))
    assert count >= 10_000 // json_steps.MEMBERS_PER_STEP


def longest_step_of_decoding_s(text):
    watch = stopwatch.Stopwatch()
    watch.run_steps(json_steps.load_in_steps(text))
    return watch.longest_s


# Guards against an instance that answers no heartbeat for seconds, as one cell
# of a configuration holds megabytes.
@pytest.mark.parametrize("cell", ["1,", "[],", "{},", '"a",', "[[1],[2]],"])
def test_long_cell_is_decoded_in_short_steps(cell):
    text = "[[[[" + cell * (2_000_000 // len(cell)) + "1]]]]"
    longest_s = new_process.run(longest_step_of_decoding_s, text)
    assert longest_s < MAXIMUM_STEP_S


@profiles.DETERMINISTIC
@hypothesis.given(VALUES, strategies.sampled_from([None, 1]))
def test_long_cells_are_decoded_as_short_ones(value, indent):
    text = json.dumps([[[value, {"a": value}]]], indent=indent)
    with mock.patch.object(json_steps, "SHORT_CHARACTERS", 3):
        assert load(text) == strict_json.load(text)


def test_levels_of_long_cells_are_bounded():
    inner = "[" * 250 + "1" * 5000 + "]" * 250
    with pytest.raises(ValueError, match="levels"):
        load(f"[[[{inner}]]]")


def test_long_list_is_decoded_in_steps():
    count = sum(1 for _ in json_steps.load_in_steps(json.dumps([1] * 5000)))
    assert count == 5000 // json_steps.MEMBERS_PER_STEP
