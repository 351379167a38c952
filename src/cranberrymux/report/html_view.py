"""Renders the report as a self-contained HTML page."""

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


def render(report: burn_report.BurnReport, maximum_plots: int) -> str:
    """Returns the HTML page with a table and a plot for each objective.

    Args:
        report: The report to render.
        maximum_plots: Maximum number of objectives to plot, in the order of the
            report; those without answers take a place but get no plot.
    """
    time = text_view.describe_time(report.now_s)
    summary = "within budget" if report.is_within else "burning"
    parts = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>Service-level burn at {time}</title>",
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>Service-level burn: {summary}</h1>",
        f"<p>{time}. A burn rate of 1 uses up the budget in exactly the ",
        "window of the objective. A pair of windows is marked with ! if both ",
        "burn rates reach the threshold and there are enough answers.</p>",
        _render_table(report),
        *(
            _render_plot(objective, report.now_s)
            for objective in report.objectives[:maximum_plots]
            if objective.result.tally.total
        ),
        f"<footer>{text_view.describe_source(report)}</footer>",
        "</body></html>",
    ]
    return "\n".join(parts) + "\n"


def _render_table(report: burn_report.BurnReport) -> str:
    headings = "".join(f"<th>{text}</th>" for text in report_row.HEADINGS)
    rows = "\n".join(
        _render_row(report_row.describe(objective.result))
        for objective in report.objectives
    )
    return f"<table><thead><tr>{headings}</tr></thead>\n{rows}</table>"


def _render_row(row: report_row.ReportRow) -> str:
    cells = "".join(
        f'<td class="{row.status}">{html.escape(text)}</td>'
        if name == "status"
        else f"<td>{html.escape(text)}</td>"
        for name, text in row._asdict().items()
    )
    return f"<tr>{cells}</tr>"


def _render_plot(
    objective_report: burn_report.ObjectiveReport, now_s: float
) -> str:
    image = plots.render(
        objective_report.result, objective_report.series, now_s
    )
    data = base64.b64encode(image).decode("ascii")
    objective = objective_report.result.objective
    title = html.escape(f"{objective.service}, class {objective.class_name}")
    return (
        f"<h2>{title}</h2>\n"
        f'<img alt="answers, burn rate and budget of {title}" '
        f'src="data:image/svg+xml;base64,{data}">'
    )
