"""The burn report from recorded outcomes to output and exit code.

Guards against figures, statuses or exit codes that contradict the recorded
outcomes, against an HTML page that loads other files or does not escape
names, and against settings that are accepted although they are not valid.
"""

import html.parser
import json

import pytest

from cranberrymux.models import answer_kind
from cranberrymux.report import durations
from cranberrymux.report import main
from cranberrymux.telemetry import outcomes_recorder
from cranberrymux.telemetry import outcomes_settings

Kind = answer_kind.AnswerKind
NOW_S = 1_700_000_000

SETTINGS = """
objectives:
- {service: dispatch<b>, class: urgent, target_share: 0.99, window_s: 3600,
   latency_ms: 100}
- {service: photos, target_share: 0.9, window_s: 3600}
- {service: none, target_share: 0.9, window_s: 3600}
windows:
- {long_s: 600, short_s: 60, rate_threshold: 1.5}
"""


@pytest.fixture
def folder(tmp_path):
    path = tmp_path / "outcomes"
    (tmp_path / "report.yaml").write_text(SETTINGS)
    recorder = outcomes_recorder.OutcomesRecorder(
        outcomes_settings.OutcomesSettings(str(path / "n.jsonl"))
    )
    for second in range(NOW_S - 600, NOW_S):
        kind = Kind.NOT_RUN if second >= NOW_S - 100 else Kind.DONE
        recorder.record(second, "photos", "upload", kind, 5)
        is_slow = second % 100 == 0
        latency_ms = 101 if is_slow else 100
        recorder.record(second, "dispatch<b>", "urgent", Kind.DONE, latency_ms)
        recorder.record(second, "dispatch<b>", "other", Kind.FAILED, 5)
    recorder.close()
    return path


def _run_report(folder, capsys, *options):
    status = main.main(
        [
            "--settings",
            str(folder.parent / "report.yaml"),
            "--outcomes",
            str(folder),
            "--now",
            str(NOW_S),
            *options,
        ]
    )
    return status, capsys.readouterr()


def test_json_has_counts_budgets_and_burn_rates_of_each_objective(
    folder, capsys
):
    status, printed = _run_report(folder, capsys, "--format", "json")
    assert status == 1
    report = json.loads(printed.out)
    photos, dispatch, none = report["objectives"]
    assert (photos["service"], photos["status"]) == ("photos", "burning")
    assert (photos["good"], photos["total"]) == (500, 600)
    # Of the 360 s of bad answers that are allowed, 100 s are spent. At one bad
    # second in 6 s, the other 260 s last for 1560 s.
    assert photos["budget_left"] == pytest.approx(1 - 100 / 360, abs=0.01)
    assert photos["exhaustion_s"] == pytest.approx(1560, rel=0.05)
    assert (dispatch["good"], dispatch["total"]) == (594, 600)
    assert dispatch["windows"][0]["long_rate"] == pytest.approx(1)
    assert none["status"] == "no-data"


def test_text_report_lists_the_worst_objective_first(folder, capsys):
    status, printed = _run_report(folder, capsys)
    assert status == 1
    rows = printed.out.splitlines()
    assert rows[0] == "service-level burn at 2023-11-14T22:13:20Z"
    assert [row.split()[0] for row in rows[3:6]] == [
        "photos",
        "dispatch<b>",
        "none",
    ]
    assert "99% in 100 ms" in rows[4]


class _PageParser(html.parser.HTMLParser):
    def __init__(self):
        super().__init__()
        self.tags = []
        self.sources = []
        self.text = ""

    def handle_starttag(self, tag, attributes):
        self.tags.append(tag)
        self.sources += [
            value for name, value in attributes if name in ("src", "href")
        ]

    def handle_data(self, data):
        self.text += data


def test_html_page_loads_no_other_files_and_escapes_names(
    folder, capsys, tmp_path
):
    path = tmp_path / "burn.html"
    status, _ = _run_report(
        folder, capsys, "--format", "html", "--output", str(path)
    )
    assert status == 1
    page = _PageParser()
    page.feed(path.read_text())
    assert page.tags.count("tr") == 4
    assert len(page.sources) == 2
    assert all(source.startswith("data:image/svg") for source in page.sources)
    assert "b" not in page.tags
    assert "dispatch<b>" in page.text


def test_report_with_all_objectives_within_budget_exits_with_0(folder, capsys):
    text = SETTINGS.replace("rate_threshold: 1.5", "rate_threshold: 20")
    (folder.parent / "report.yaml").write_text(text)
    assert _run_report(folder, capsys)[0] == 0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("0.99,", "1.0,", "target_share: expected a number from"),
        ("latency_ms: 100", "latency_ms: 99", "latency_ms: expected one of"),
        ("short_s: 60", "short_s: 600", "short_s: expected less than long_s"),
        ("short_s: 60", "short_s: 65", "multiple of 10 seconds"),
        ("window_s: 3600,", "window_s: 3601,", "multiple of 10 seconds"),
    ],
)
def test_settings_that_are_not_valid_exit_with_2_and_name_the_key(
    folder, capsys, old, new, message
):
    text = SETTINGS.replace(old, new)
    assert text != SETTINGS
    (folder.parent / "report.yaml").write_text(text)
    status, printed = _run_report(folder, capsys)
    assert status == 2
    assert message in printed.err


def test_missing_outcome_files_or_folder_exit_with_2(folder, capsys):
    for path in folder.iterdir():
        path.unlink()
    assert _run_report(folder, capsys)[0] == 2
    folder.rmdir()
    assert _run_report(folder, capsys)[0] == 2


@pytest.mark.parametrize(
    ("duration_s", "text"),
    [(0, "0 s"), (59.9, "59.9 s"), (60, "1 min"), (5400, "1.5 h")],
)
def test_duration_is_described_in_its_largest_unit(duration_s, text):
    assert durations.describe(duration_s) == text
