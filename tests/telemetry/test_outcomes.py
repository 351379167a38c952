"""Recording outcomes in files and reading them back.

Guards against wrong counts in a report, caused by lines that a crash truncated,
files renamed during the read, failed writes or invalid lines, and against
files, descriptors or series whose number grows without limit.
"""

import os

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.models import answer_kind
from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count
from cranberrymux.telemetry import outcomes_reader
from cranberrymux.telemetry import outcomes_recorder
from cranberrymux.telemetry import outcomes_settings
from tests import profiles

DONE = answer_kind.AnswerKind.DONE
NOT_RUN = answer_kind.AnswerKind.NOT_RUN


def _make_recorder(folder, size=1 << 20, files=3):
    return outcomes_recorder.OutcomesRecorder(
        outcomes_settings.OutcomesSettings(
            str(folder / "outcomes.jsonl"), size, files
        )
    )


def _read(folder):
    reader = outcomes_reader.OutcomesReader((str(folder),))
    return list(reader.read()), reader


def test_outcomes_are_counted_by_period_class_and_answer(tmp_path):
    recorder = _make_recorder(tmp_path)
    recorder.record(100.2, "s", "a", DONE, 10)
    recorder.record(109.9, "s", "a", DONE, 10.1)
    recorder.record(109.9, "s", "a", NOT_RUN, 0.2)
    recorder.flush(109.9)
    assert not list(tmp_path.iterdir())
    recorder.record(110.0, "s", "a", DONE, 99_999)
    recorder.flush(111.5)
    counts, _ = _read(tmp_path)
    assert [(count.begin_s, count.kind, count.answers) for count in counts] == [
        (100, DONE, 2),
        (100, NOT_RUN, 1),
    ]
    assert counts[0].answers_within(10) == 1
    assert counts[0].answers_within(24) == 1
    assert counts[0].answers_within(25) == 2
    recorder.close()
    counts, _ = _read(tmp_path)
    assert counts[2].begin_s == 110
    assert counts[2].answers_within(10_000) == 0
    assert counts[2].answers == 1


def test_restarted_recorder_appends_to_the_file(tmp_path):
    for second in (0, 10):
        recorder = _make_recorder(tmp_path)
        recorder.record(second, "s", "a", DONE, 1)
        recorder.close()
    _, reader = _read(tmp_path)
    assert (reader.lines_read, reader.lines_skipped) == (2, 0)


def test_truncated_line_is_terminated_and_skipped(tmp_path):
    recorder = _make_recorder(tmp_path)
    recorder.record(1, "s", "a", DONE, 1)
    recorder.close()
    path = tmp_path / "outcomes.jsonl"
    os.truncate(path, path.stat().st_size - 5)
    assert _read(tmp_path)[1].lines_skipped == 1
    restarted = _make_recorder(tmp_path)
    restarted.record(20, "s", "a", DONE, 1)
    restarted.close()
    counts, reader = _read(path)
    assert [count.begin_s for count in counts] == [20]
    assert (reader.lines_read, reader.lines_skipped) == (1, 1)


@pytest.mark.parametrize("files", [1, 3])
def test_files_rotate_by_size_and_the_oldest_are_deleted(tmp_path, files):
    recorder = _make_recorder(tmp_path, size=1024, files=files)
    open_before = len(os.listdir("/proc/self/fd"))
    for second in range(0, 1000, 10):
        recorder.record(second, "s", "a", DONE, 1)
        recorder.flush(second + 10)
    assert len(os.listdir("/proc/self/fd")) == open_before + 1
    recorder.close()
    assert len(os.listdir("/proc/self/fd")) == open_before
    sizes = {path.name: path.stat().st_size for path in tmp_path.iterdir()}
    ends = ("", ".1", ".2")[:files]
    assert set(sizes) == {f"outcomes.jsonl{end}" for end in ends}
    assert max(sizes.values()) <= 1024
    begins = sorted(count.begin_s for count in _read(tmp_path)[0])
    assert begins == list(range(begins[0], 1000, 10))
    assert len(begins) > 8 * (files - 1)


def test_file_found_under_two_names_counts_once(tmp_path):
    recorder = _make_recorder(tmp_path)
    recorder.record(1, "s", "a", DONE, 1)
    recorder.close()
    os.link(tmp_path / "outcomes.jsonl", tmp_path / "outcomes.jsonl.1")
    assert len(_read(tmp_path)[0]) == 1


def test_failed_write_counts_lost_lines_and_later_writes_succeed(tmp_path):
    (tmp_path / "file").write_text("")
    recorder = _make_recorder(tmp_path / "file" / "folder")
    recorder.record(1, "s", "a", DONE, 1)
    recorder.flush(10)
    assert recorder.lines_lost == 1
    (tmp_path / "file").unlink()
    recorder.record(3, "s", "a", DONE, 1)
    recorder.close()
    assert len(_read(tmp_path / "file" / "folder")[0]) == 1


def test_series_above_the_limit_are_counted_as_other(tmp_path, monkeypatch):
    monkeypatch.setattr(outcomes_recorder, "MAXIMUM_SERIES", 2)
    recorder = _make_recorder(tmp_path)
    for name in "abcde":
        recorder.record(1, name, "x", DONE, 1)
    recorder.close()
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
def test_invalid_line_decodes_to_none(line):
    assert outcome_codec.decode(VALID) is not None
    assert outcome_codec.decode(line) is None


def test_rest_of_a_too_long_line_is_not_read_as_a_line(tmp_path):
    length = outcomes_reader.MAXIMUM_LINE_BYTES
    (tmp_path / "a.jsonl").write_bytes(b"x" * length + VALID + VALID)
    counts, reader = _read(tmp_path)
    assert (len(counts), reader.lines_skipped) == (1, 1)


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=50)
@hypothesis.given(
    invalid=strategies.lists(strategies.binary(max_size=40), max_size=5),
    length=strategies.integers(0, 9000),
)
def test_invalid_bytes_between_lines_hide_no_valid_line(
    tmp_path_factory, invalid, length
):
    folder = tmp_path_factory.mktemp("outcomes")
    invalid = [piece.replace(b"\n", b"") for piece in invalid] + [b"x" * length]
    data = b"".join(piece + b"\n" + VALID for piece in invalid)
    (folder / "outcomes.jsonl").write_bytes(data)
    counts, reader = _read(folder)
    assert len(counts) == len(invalid)
    assert reader.lines_skipped == len(invalid)
