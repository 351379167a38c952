"""Headers that nodes add for one another; clients never see them."""

from typing import NamedTuple

from cranberrymux.node.http import headers as headers_module

PREFIX = b"cranberrymux-"
# Id of the backend server that the sender chose.
TARGET = b"cranberrymux-target"
# Name of the route.
ROUTE = b"cranberrymux-route"
# See `Standing`.
STANDING = b"cranberrymux-standing"
# On requests that another node refused before: the work was counted there.
AGAIN = b"cranberrymux-again"
# On answers: why the request was not run, if that is proven.
NOT_RUN = b"cranberrymux-not-run"
# On answers: see `LoadReport`.
LOAD = b"cranberrymux-load"
# On answers of a backend server that failed because a call of it failed.
CALL_FAILED = b"cranberrymux-call-failed"
# On answers: what the request cost at each service of its tree; see
# `decisions.pressure.work_report`.
WORK = b"cranberrymux-work"

# Reasons of `NOT_RUN`.
FULL = b"full"
TOO_LATE = b"too-late"
DRAINING = b"draining"
STOPPING = b"stopping"
OTHER_BACKEND = b"other-backend"
UNREACHABLE = b"unreachable"
# The backend server takes requests and answers none.
STALLED = b"stalled"
# The backend server itself refused it.
BACKEND_FULL = b"backend-full"
MISDIRECTED = b"misdirected"
BUSY_REASONS = (FULL, TOO_LATE, BACKEND_FULL)

CALL_BONUS = 0.5  # Calls of a tree that was let in come before its equals.

# Each node hands on a little less time than it has, so that the answer "too
# late" of the next one still arrives.
MARGIN_S = 0.01
MARGIN_RATIO = 0.05


def shorten_ms(left_s: float) -> int:
    """Milliseconds to hand on, of the time that is left."""
    return int((left_s - min(MARGIN_S, MARGIN_RATIO * left_s)) * 1000)


class Standing(NamedTuple):
    """What the node where a tree began says of all its work.

    Attributes:
        rank: Order in which work starts, lowest first: the importance of the
            request that began the tree, less `CALL_BONUS` for its calls.
        share: Share of the offered work that was let in there.
        is_repeat: True for work that is done because an earlier run of its
            tree was lost.
    """

    rank: float
    share: float
    is_repeat: bool = False

    def of_call(self) -> "Standing":
        """Standing of the calls of a request with this one."""
        is_call = self.rank % 1.0 != 0.0
        return self if is_call else self._replace(rank=self.rank - CALL_BONUS)


NO_STANDING = Standing(0.0, 1.0)


def encode_standing(standing: Standing) -> bytes:
    """Encodes a standing as a header value."""
    return b"%.1f/%.3f/%d" % standing


def decode_standing(headers: headers_module.HeaderList) -> Standing:
    """Reads the standing; `NO_STANDING` if there is none."""
    said = headers_module.find(headers, STANDING) or b""
    try:
        rank, share, is_repeat = said.split(b"/")
        return Standing(float(rank), float(share), is_repeat == b"1")
    except ValueError:
        return NO_STANDING


class LoadReport(NamedTuple):
    """What an endpoint's node says of it.

    Attributes:
        requests: Requests that run and wait there.
        failing: Share of the requests that it failed by itself lately.
        slowness: Ratio of its present to its usual working times.
    """

    requests: int
    failing: float
    slowness: float = 1.0


def encode_load(report: LoadReport) -> bytes:
    """Encodes a load as a header value."""
    return b"%d/%d/%d" % (
        report.requests,
        round(report.failing * 1000),
        round(report.slowness * 100),
    )


def decode_load(headers: headers_module.HeaderList) -> LoadReport | None:
    """Reads the load; None if it is not told."""
    said = headers_module.find(headers, LOAD) or b""
    parts = said.split(b"/")
    if len(parts) != 3 or not all(one.isdigit() for one in parts):
        return None
    requests, failing, slowness = map(int, parts)
    return LoadReport(requests, failing / 1000, slowness / 100)


def strip(headers: headers_module.HeaderList) -> headers_module.HeaderList:
    """Leaves out the nodes' own headers."""
    return [one for one in headers if not one[0].startswith(PREFIX)]
