"""Fair shares of client accounts on the whole path.

Guards against requests that reach the overloaded service without the name by
which it counts them, against shares that do not come back to the first node,
and against log lines and metrics that do not tell who is held back.
"""

import pytest

from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import held_back_counter
from cranberrymux.gateway import hop
from cranberrymux.gateway import metrics as metrics_module


def make_headers(tree_context):
    return [
        (hop.TREE_CONTEXT, hop.encode_tree_context(tree_context)),
        *hop.encode_account(tree_context),
    ]


@pytest.mark.parametrize(
    "tree_context",
    [
        hop.TreeContext(1.0, 0.5, account="a/b, c", offered=12),
        hop.TreeContext(1.0, 0.5, root_route="open/all", offered=3),
        hop.TreeContext(1.0, 0.5),
    ],
)
def test_context_of_an_account_passes_between_nodes(tree_context):
    headers = make_headers(tree_context)
    assert hop.decode_tree_context(headers) == tree_context


def test_trees_without_accounts_carry_no_further_header():
    assert len(make_headers(hop.TreeContext(1.0, 0.5))) == 1


@pytest.mark.parametrize("value", [b"x", b"-4", b"", b"0"])
def test_invalid_number_of_refused_requests_counts_as_none(value):
    headers = [
        (hop.TREE_CONTEXT, b"1.0/1.000/0"),
        (hop.ACCOUNT, b"a"),
        (hop.OFFERED, value),
    ]
    assert hop.decode_tree_context(headers).offered == 1


def test_work_report_carries_the_share_of_the_account():
    report = {"deep": work_report.ServiceWork(0.25, 0.5, 0.125)}
    value = work_report.encode(report)
    assert work_report.decode(value) == report
    first, _ = value.split(b",")
    assert work_report.decode(first)["deep"].account_share is None


def test_work_report_averages_the_shares_of_the_account():
    report = {"deep": work_report.ServiceWork(0.1, 0.5)}
    work_report.add(report, {"deep": work_report.ServiceWork(0.1, 0.5, 0.2)})
    work_report.add(report, {"deep": work_report.ServiceWork(0.2, 0.5, 0.4)})
    assert 0.2 < report["deep"].account_share < 0.4


@pytest.mark.parametrize("value", [b"a=1/2,a=@", b"a=1/2,a=@x", b"b=@3,a=1/2"])
def test_invalid_share_of_the_account_is_skipped(value):
    report = work_report.decode(value)
    assert report == {"a": work_report.ServiceWork(0.001, 0.002)}


def test_number_of_labels_is_bounded():
    metrics = metrics_module.GatewayMetrics()
    for number in range(1000):
        metrics.held_back.note(f"account-{number}")
    lines = metrics.encode().decode().splitlines()
    counted = [
        line
        for line in lines
        if line.startswith("cranberrymux_account_refusals_total{")
    ]
    assert len(counted) == held_back_counter.MAXIMUM_LABELS + 1
    assert sum(float(line.split()[-1]) for line in counted) == 1000
