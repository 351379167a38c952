"""The report as one HTML page that needs no other file."""

import base64
import html

from cranberrymux.report import burn_report
from cranberrymux.report import plots
from cranberrymux.report import report_row
from cranberrymux.report import text_view

_STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 76em;
  padding: 0 1em; color: #222; background: #fff; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .35em .7em; vertical-align: top;
  border-bottom: 1px solid #ccc; }
.exhausted, .burning { color: #a32018; font-weight: bold; }
.within { color: #2b7a4b; }
.no-data { color: #666; }
img { max-width: 100%; }
footer { color: #555; margin-top: 2em; }
"""


def render(report: burn_report.BurnReport, plots_max: int) -> str:
    """Gives the whole page.

    Args:
        report: The report.
        plots_max: Most objectives that are plotted, the worst first.
    """
    time = text_view.describe_time(report.now_s)
    verdict = "within budget" if report.is_within else "burning"
    parts = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>Service-level burn at {time}</title>",
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>Service-level burn: {verdict}</h1>",
        f"<p>{time}. A burn rate of 1 uses the budget up in exactly the ",
        "window of the objective. A pair of windows that both burn faster ",
        "than their threshold is marked with !.</p>",
        _render_table(report),
        *(
            _render_plot(one, report.now_s)
            for one in report.objectives[:plots_max]
            if one.result.tally.total
        ),
        f"<footer>{text_view.describe_source(report)}</footer>",
        "</body></html>",
    ]
    return "\n".join(parts) + "\n"


def _render_table(report: burn_report.BurnReport) -> str:
    heads = "".join(f"<th>{text}</th>" for text in report_row.HEADINGS)
    rows = "\n".join(
        _render_row(report_row.describe(one.result))
        for one in report.objectives
    )
    return f"<table><thead><tr>{heads}</tr></thead>\n{rows}</table>"


def _render_row(row: report_row.ReportRow) -> str:
    cells = "".join(
        f'<td class="{row.status}">{html.escape(text)}</td>'
        if name == "status"
        else f"<td>{html.escape(text)}</td>"
        for name, text in row._asdict().items()
    )
    return f"<tr>{cells}</tr>"


def _render_plot(one: burn_report.ObjectiveReport, now_s: float) -> str:
    image = plots.render(one.result, one.series, now_s)
    data = base64.b64encode(image).decode("ascii")
    objective = one.result.objective
    title = html.escape(f"{objective.service}, class {objective.class_name}")
    return (
        f"<h2>{title}</h2>\n"
        f'<img alt="answers, burn rate and budget of {title}" '
        f'src="data:image/svg+xml;base64,{data}">'
    )
