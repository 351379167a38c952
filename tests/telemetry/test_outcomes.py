"""Recorded outcomes: files, rotation, torn lines."""

import os

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.models import answer_kind
from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count
from cranberrymux.telemetry import outcomes
from cranberrymux.telemetry import outcomes_reader
from cranberrymux.telemetry import outcomes_settings

DONE = answer_kind.AnswerKind.DONE
NOT_RUN = answer_kind.AnswerKind.NOT_RUN


def _recorder(folder, size=1 << 20, files=3):
    return outcomes.OutcomesRecorder(
        outcomes_settings.OutcomesSettings(
            str(folder / "outcomes.jsonl"), size, files
        )
    )


def _read(folder):
    reader = outcomes_reader.OutcomesReader((str(folder),))
    return list(reader.read()), reader


def test_counts_by_period_class_and_answer(tmp_path):
    one = _recorder(tmp_path)
    one.record(100.2, "s", "a", DONE, 10)
    one.record(109.9, "s", "a", DONE, 10.1)
    one.record(109.9, "s", "a", NOT_RUN, 0.2)
    one.flush(109.9)
    assert not list(tmp_path.iterdir())
    one.record(110.0, "s", "a", DONE, 99_999)
    one.flush(111.5)
    counts, _ = _read(tmp_path)
    assert [(c.begin_s, c.kind, c.answers) for c in counts] == [
        (100, DONE, 2),
        (100, NOT_RUN, 1),
    ]
    assert counts[0].answers_within(10) == 1
    assert counts[0].answers_within(24) == 1
    assert counts[0].answers_within(25) == 2
    one.close()
    counts, _ = _read(tmp_path)
    assert counts[2].begin_s == 110
    assert counts[2].answers_within(10_000) == 0
    assert counts[2].answers == 1


def test_a_restart_goes_on_after_the_last_line(tmp_path):
    for second in (0, 10):
        one = _recorder(tmp_path)
        one.record(second, "s", "a", DONE, 1)
        one.close()
    _, reader = _read(tmp_path)
    assert (reader.lines_read, reader.lines_skipped) == (2, 0)


def test_a_torn_line_is_ended_and_skipped(tmp_path):
    one = _recorder(tmp_path)
    one.record(1, "s", "a", DONE, 1)
    one.close()
    path = tmp_path / "outcomes.jsonl"
    os.truncate(path, path.stat().st_size - 5)
    assert _read(tmp_path)[1].lines_skipped == 1
    two = _recorder(tmp_path)
    two.record(20, "s", "a", DONE, 1)
    two.close()
    counts, reader = _read(path)
    assert [one.begin_s for one in counts] == [20]
    assert (reader.lines_read, reader.lines_skipped) == (1, 1)


@pytest.mark.parametrize("files", [1, 3])
def test_files_rotate_by_size_and_the_oldest_go(tmp_path, files):
    one = _recorder(tmp_path, size=1024, files=files)
    open_before = len(os.listdir("/proc/self/fd"))
    for second in range(0, 1000, 10):
        one.record(second, "s", "a", DONE, 1)
        one.flush(second + 10)
    assert len(os.listdir("/proc/self/fd")) == open_before + 1
    one.close()
    assert len(os.listdir("/proc/self/fd")) == open_before
    sizes = {path.name: path.stat().st_size for path in tmp_path.iterdir()}
    ends = ("", ".1", ".2")[:files]
    assert set(sizes) == {f"outcomes.jsonl{end}" for end in ends}
    assert max(sizes.values()) <= 1024
    begins = sorted(count.begin_s for count in _read(tmp_path)[0])
    assert begins == list(range(begins[0], 1000, 10))
    assert len(begins) > 8 * (files - 1)


def test_a_file_renamed_while_it_is_read_counts_once(tmp_path):
    one = _recorder(tmp_path)
    one.record(1, "s", "a", DONE, 1)
    one.close()
    os.link(tmp_path / "outcomes.jsonl", tmp_path / "outcomes.jsonl.1")
    assert len(_read(tmp_path)[0]) == 1


def test_a_failing_disk_loses_lines_only(tmp_path):
    (tmp_path / "file").write_text("")
    one = _recorder(tmp_path / "file" / "folder")
    one.record(1, "s", "a", DONE, 1)
    one.flush(10)
    assert one.lines_lost == 1
    (tmp_path / "file").unlink()
    one.record(3, "s", "a", DONE, 1)
    one.close()
    assert len(_read(tmp_path / "file" / "folder")[0]) == 1


def test_series_are_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr(outcomes, "SERIES_MAX", 2)
    one = _recorder(tmp_path)
    for name in "abcde":
        one.record(1, name, "x", DONE, 1)
    one.close()
    counts = {count.service: count.answers for count in _read(tmp_path)[0]}
    assert counts == {"a": 1, "b": 1, "other": 3}


VALID = outcome_codec.encode(
    outcome_count.OutcomeCount(5, "s", "a", DONE, (1,) * 11)
)


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"\n",
        b"[]\n",
        b"\xff\n",
        b"[" * 4000 + b"\n",
        VALID.replace(b"5", b"-5"),
        VALID.replace(b"5", b"true"),
        VALID.replace(b'"done"', b'"other"'),
        VALID.replace(b"1,", b"", 1),
        VALID.replace(b"1,", b'"1",', 1),
        VALID.replace(b'"s"', b"7"),
        VALID.replace(b'"s"', b'"%s"' % (b"s" * 201)),
    ],
)
def test_lines_of_another_kind_are_none(line):
    assert outcome_codec.decode(VALID) is not None
    assert outcome_codec.decode(line) is None


def test_the_rest_of_a_line_that_is_too_long_is_no_line(tmp_path):
    length = outcomes_reader.LINE_BYTES_MAX
    (tmp_path / "a.jsonl").write_bytes(b"x" * length + VALID + VALID)
    counts, reader = _read(tmp_path)
    assert (len(counts), reader.lines_skipped) == (1, 1)


@hypothesis.settings(
    derandomize=True, database=None, max_examples=50, deadline=None
)
@hypothesis.given(
    rubbish=strategies.lists(strategies.binary(max_size=40), max_size=5),
    length=strategies.integers(0, 9000),
)
def test_rubbish_between_lines_hides_none(tmp_path_factory, rubbish, length):
    folder = tmp_path_factory.mktemp("outcomes")
    rubbish = [one.replace(b"\n", b"") for one in rubbish] + [b"x" * length]
    data = b"".join(one + b"\n" + VALID for one in rubbish)
    (folder / "outcomes.jsonl").write_bytes(data)
    counts, reader = _read(folder)
    assert len(counts) == len(rubbish)
    assert reader.lines_skipped == len(rubbish)
