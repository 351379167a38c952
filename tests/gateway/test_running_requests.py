"""How many calls a running request still needs.

Guards against repeats for runs that have just begun, while others that lack
only their last call get none.
"""

from cranberrymux.gateway import hop
from cranberrymux.gateway import running_requests

ROUTE = "tree"
CALLS = 4


def run_calls(
    requests: running_requests.RunningRequests, ticket_id: int, calls: int
) -> None:
    for _ in range(calls):
        requests.begin_call(ticket_id, 0.0)
        requests.end_call(ticket_id, 0.1, is_failed=False)


def make_requests() -> running_requests.RunningRequests:
    """Returns running requests after one of the route was served."""
    requests = running_requests.RunningRequests()
    requests.begin(1, hop.DEFAULT_TREE_CONTEXT, ROUTE)
    run_calls(requests, 1, CALLS)
    served = requests.find(1)
    assert served is not None
    requests.note_served(served, ROUTE)
    requests.end(1)
    return requests


def test_each_answered_call_leaves_one_less():
    requests = make_requests()
    requests.begin(2, hop.DEFAULT_TREE_CONTEXT, ROUTE)
    run = requests.find(2)
    assert run is not None
    remaining = []
    for _ in range(CALLS + 1):
        remaining.append(run.remaining_calls)
        run_calls(requests, 2, 1)
    assert remaining == [4, 3, 2, 1, 1]


def test_a_failed_call_is_still_needed():
    requests = make_requests()
    requests.begin(2, hop.DEFAULT_TREE_CONTEXT, ROUTE)
    requests.begin_call(2, 0.0)
    requests.end_call(2, 0.1, is_failed=True)
    run = requests.find(2)
    assert run is not None
    assert run.remaining_calls == CALLS


def test_runs_of_an_unknown_route_are_not_put_behind_others():
    requests = running_requests.RunningRequests()
    requests.begin(1, hop.DEFAULT_TREE_CONTEXT, ROUTE)
    run = requests.find(1)
    assert run is not None
    assert run.remaining_calls == 1
