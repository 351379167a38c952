"""Headers between nodes; removed from what clients and servers get."""

from collections.abc import Container
import functools
import math
from typing import NamedTuple
from urllib import parse

from cranberrymux.decisions.rate_limits import rate_limit_value
from cranberrymux.models import whole_number
from cranberrymux.node import suspect_message
from cranberrymux.node.http import headers as headers_module

PREFIX = b"cranberrymux-"
_KEPT_VALUES = 256  # Results kept by each cached encoder and decoder.
_KEPT_NAMES = 1024  # Names kept by `_PassedOn`.
_KEPT_NAME_BYTES = 64  # The longest of them.
# On requests: id of the backend server that the sender chose.
TARGET = b"cranberrymux-target"
# On requests: name of the route.
ROUTE = b"cranberrymux-route"
# On requests: see `TreeContext`.
TREE_CONTEXT = b"cranberrymux-standing"
# On requests: name of the client account of the tree, percent-encoded.
# For trees without one, where others have one: a slash and the root's route.
ACCOUNT = b"cranberrymux-account"
# On requests: see `TreeContext.offered`; missing for 1.
OFFERED = b"cranberrymux-offered"
# On requests: the rate limit of the backend server that the sender has learned
# from earlier answers, in case the node beside it has started since.
KNOWN_RATE_LIMIT = b"cranberrymux-known-limit"
# On requests that were sent to another node before, which counted their work.
RESENT = b"cranberrymux-again"
# On answers: why the request was not run; only if that is certain.
NOT_RUN = b"cranberrymux-not-run"
# On answers: see `load_report.LoadReport`.
LOAD = b"cranberrymux-load"
# On answers: the speed in the load report. It has its own header since nodes of
# earlier versions take a load report of more than three numbers for invalid.
SPEED = b"cranberrymux-speed"
# On failures of a backend server that are due to a call of the request.
CALL_FAILED = b"cranberrymux-call-failed"
# On answers: what the request cost at each service of its tree; see
# `decisions.pressure.work_report`.
WORK = b"cranberrymux-work"

# On answers: requests a second that the backend server accepts from all nodes
# together; missing if it has no limit, or if the node does not know.
RATE_LIMIT = b"cranberrymux-rate-limit"
# On answers with a rate limit: milliseconds until one more request could start.
LIMIT_WAIT = b"cranberrymux-limit-wait"

# On answers: the backend server has said that it is leaving. The value is its
# start time in Unix milliseconds; 0 if it is not known.
LEAVING = b"cranberrymux-leaving"

# On requests: digest of the request's content, which its resends share.
DIGEST = b"cranberrymux-digest"
# On requests and answers: what the sender knows of the deaths of backend
# servers under requests with that digest; see `node.suspect_message`.
SUSPECT = suspect_message.HEADER
# On answers: the backend server died while it ran the request.
DIED = b"cranberrymux-died"

# Values of `NOT_RUN`.
FULL = b"full"
# The rate limit of the backend server does not let it start in time.
LIMITED = b"limited"
TOO_LATE = b"too-late"
DRAINING = b"draining"
STOPPING = b"stopping"
OTHER_BACKEND = b"other-backend"
UNREACHABLE = b"unreachable"
# The node does not know yet which requests crash backend servers.
STARTING = b"starting"
# Backend servers died under earlier sendings of the request.
QUARANTINED = b"quarantined"
# The request is a suspect, and others are to run here before it.
SUSPECT_WAITS = b"suspect-waits"
# The backend server takes requests and answers none.
STALLED = b"stalled"
# The backend server itself refused the request.
BACKEND_FULL = b"backend-full"
MISDIRECTED = b"misdirected"
BUSY_REASONS = (
    FULL,
    LIMITED,
    TOO_LATE,
    BACKEND_FULL,
    QUARANTINED,
    SUSPECT_WAITS,
)

# Calls of an admitted tree start before roots of equal importance.
CALL_RANK_BONUS = 0.5

# Each node passes on slightly less time than it has, so that the "too-late"
# answer of the next node still arrives in time.
ANSWER_MARGIN_S = 0.01
ANSWER_MARGIN_RATIO = 0.05


def shorten_deadline_ms(left_s: float) -> int:
    """Returns the milliseconds to pass on when `left_s` seconds are left."""
    is_short = left_s < ANSWER_MARGIN_S / ANSWER_MARGIN_RATIO
    margin_s = ANSWER_MARGIN_RATIO * left_s if is_short else ANSWER_MARGIN_S
    return int((left_s - margin_s) * 1000)


class TreeContext(NamedTuple):
    """What all requests of a call tree know from the node where it began.

    Attributes:
        rank: Order of starting; lower ranks start first. The rank of the root
            (`accounts/request_rank.py`), a whole number, less
            `CALL_RANK_BONUS` for calls and for roots that make none.
        share: Share of the offered work that was admitted there, 0.0 to 1.0.
        is_repeat: True if the tree, or a subtree that contains the request, was
            run before and lost its answer or failed.
        account: Name of the client account of the root; empty for none.
        has_left_zone: True if the request, or one that it is a call of, was
            sent to another availability zone. Its calls then stay where they
            are, so that a tree does not cross back and forth.
        root_route: Route of the root, if it has no account but others have;
            empty otherwise.
        offered: Number of trees that this one stands for: itself and those of
            its account that were refused since the last one at its first node.
    """

    rank: float
    share: float
    is_repeat: bool = False
    account: str = ""
    has_left_zone: bool = False
    root_route: str = ""
    offered: int = 1

    def for_call(self) -> "TreeContext":
        """Returns the context of the calls of a request with this one."""
        is_call = self.rank % 1.0 != 0.0
        return (
            self if is_call else self._replace(rank=self.rank - CALL_RANK_BONUS)
        )


_ROUTE_MARK = b"/"  # Never in the encoded name of an account.
DEFAULT_TREE_CONTEXT = TreeContext(0.0, 1.0)

_REPEAT_FLAGS = (b"1", b"3")
_LEFT_ZONE_FLAGS = (b"2", b"3")


def encode_tree_context(
    tree_context: TreeContext,
    is_repeat: bool = False,
    has_left_zone: bool = False,
) -> bytes:
    """Encodes a context as the header value `rank/share/flags`.

    The flags are 1 for `is_repeat` and 2 for `has_left_zone`. The account is a
    header of its own.

    Args:
        tree_context: The context.
        is_repeat: True if this sending is a repeat, whatever the context says.
        has_left_zone: True if this sending leaves the zone, likewise.
    """
    flags = (is_repeat or tree_context.is_repeat) + 2 * (
        has_left_zone or tree_context.has_left_zone
    )
    return b"%.1f/%.3f/%d" % (tree_context.rank, tree_context.share, flags)


def encode_account(tree_context: TreeContext) -> headers_module.HeaderList:
    """Returns the headers on the account of a tree; none without accounts."""
    headers = []
    if tree_context.account:
        headers.append((ACCOUNT, _encode_name(tree_context.account)))
    elif tree_context.root_route:
        name = _encode_name(tree_context.root_route)
        headers.append((ACCOUNT, _ROUTE_MARK + name))
    if tree_context.offered > 1:
        headers.append((OFFERED, b"%d" % tree_context.offered))
    return headers


@functools.lru_cache(_KEPT_VALUES)
def _encode_name(name: str) -> bytes:
    return parse.quote(name, safe="").encode()


def decode_tree_context(headers: headers_module.HeaderList) -> TreeContext:
    """Decodes the context of a request with these headers."""
    return read_tree_context(headers_module.index(headers))


def read_tree_context(first: dict[bytes, bytes]) -> TreeContext:
    """Decodes the context; `DEFAULT_TREE_CONTEXT` if missing or invalid."""
    value = first.get(TREE_CONTEXT, b"")
    tree_context = _parse_tree_context(value, first.get(ACCOUNT, b""))
    if OFFERED not in first:
        return tree_context
    offered = whole_number.decode(first[OFFERED]) or 1
    return tree_context._replace(offered=offered)


@functools.lru_cache(_KEPT_VALUES)
def _parse_tree_context(value: bytes, account: bytes) -> TreeContext:
    try:
        encoded_rank, encoded_share, flags = value.split(b"/")
        rank = float(encoded_rank)
        share = float(encoded_share)
        if not (math.isfinite(rank) and math.isfinite(share)):
            return DEFAULT_TREE_CONTEXT
        tree_context = TreeContext(
            rank,
            share,
            flags in _REPEAT_FLAGS,
            has_left_zone=flags in _LEFT_ZONE_FLAGS,
        )
        if account.startswith(_ROUTE_MARK):
            route = parse.unquote(account[len(_ROUTE_MARK) :].decode())
            return tree_context._replace(root_route=route)
        return tree_context._replace(account=parse.unquote(account.decode()))
    except ValueError:
        return DEFAULT_TREE_CONTEXT


def encode_rate_limit(per_s: float) -> bytes:
    """Encodes a rate limit in requests a second."""
    return b"%.9f" % per_s


def decode_rate_limit(
    headers: headers_module.HeaderList, name: bytes = RATE_LIMIT
) -> float | None:
    """Decodes the rate limit; None if it is missing or invalid."""
    if name not in headers_module.index(headers):
        return None
    per_s = rate_limit_value.parse(headers_module.find_all(headers, name))
    return per_s if isinstance(per_s, float) else None


def encode_limit_wait(wait_s: float) -> bytes:
    """Encodes the time until one more request could start."""
    return b"%d" % math.ceil(wait_s * 1000)


def decode_limit_wait(headers: headers_module.HeaderList) -> float:
    """Decodes that time in seconds; 0.0 if it is missing or invalid."""
    wait_ms = whole_number.decode(headers_module.find(headers, LIMIT_WAIT))
    return (wait_ms or 0) / 1000


def decode_leaving(headers: headers_module.HeaderList) -> int | None:
    """Decodes the start time of a backend server that is leaving, or None."""
    return whole_number.decode(headers_module.find(headers, LEAVING))


class _PassedOn(dict[bytes, bool]):
    """Whether headers of a name are passed on; bounded in size."""

    def __missing__(self, name: bytes) -> bool:
        if len(self) >= _KEPT_NAMES:
            self.clear()
        is_own = name[: len(PREFIX)] == PREFIX
        passed_on = not is_own and name not in headers_module.HOP_BY_HOP
        if len(name) <= _KEPT_NAME_BYTES:
            self[name] = passed_on
        return passed_on


_is_passed_on = _PassedOn()


def get_forwardable(
    headers: headers_module.HeaderList, replaced: Container[bytes] = ()
) -> headers_module.HeaderList:
    """Returns the headers that clients and backend servers get.

    Args:
        headers: Headers with names in lower case.
        replaced: Names of those left out besides the headers between nodes
            and the hop-by-hop ones.
    """
    is_passed_on = _is_passed_on
    found = [
        pair
        for pair in headers
        if is_passed_on[pair[0]] and pair[0] not in replaced
    ]
    if type(headers) is headers_module.Headers and (
        b"connection" not in headers.first
    ):
        return found
    dropped = headers_module.find_hop_by_hop(headers)
    if dropped is headers_module.HOP_BY_HOP:
        return found
    return [pair for pair in found if pair[0] not in dropped]
