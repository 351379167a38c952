"""Headers that nodes add for one another; clients never see them."""

from cranberrymux.node.http import headers as headers_module

PREFIX = b"cranberrymux-"
# Id of the backend server that the sender chose.
TARGET = b"cranberrymux-target"
# Name of the route.
ROUTE = b"cranberrymux-route"
# Rank of the work: see `decisions.pressure.rank`.
RANK = b"cranberrymux-rank"
# On answers: why the request was not run, if that is proven.
NOT_RUN = b"cranberrymux-not-run"
# On answers: running and waiting requests and slots, by comma.
LOAD = b"cranberrymux-load"
# On answers: what the request cost at each service; see `work_report`.
WORK = b"cranberrymux-work"


def strip(headers: headers_module.HeaderList) -> headers_module.HeaderList:
    """Leaves out the nodes' own headers."""
    return [one for one in headers if not one[0].startswith(PREFIX)]
