"""Why an endpoint is the one chosen, or is not."""

import enum


class EndpointVerdict(enum.Enum):
    """What the choice of an endpoint found of one of them.

    Attributes:
        CHOSEN: It gets the request.
        NOT_SERVING: Its record names another state.
        LEAVING: Its backend server has said that it leaves.
        UNREACHABLE: It cannot be reached, and a control instance reports it as
            gone.
        SUSPENDED: It gets no requests after losses or timeouts.
        EJECTED: It fails most requests.
        RATE_LIMITED: Its rate limit leaves no room for this node.
        NOT_ASKED: No endpoint is chosen for the request.
        OUTSIDE_SUBSET: It is not among those that this node prefers.
        FAILING: It fails more requests than is tolerated in the own zone.
        OTHER_ZONE: The request goes to another zone.
        NOT_DRAWN: It is not among the two that were drawn.
        NOT_CHEAPER: The other one of the two costs less, or the same and was
            drawn first.
    """

    CHOSEN = "chosen"
    NOT_SERVING = "not-serving"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    SUSPENDED = "suspended"
    EJECTED = "ejected"
    RATE_LIMITED = "rate-limited"
    NOT_ASKED = "not-asked"
    OUTSIDE_SUBSET = "outside-subset"
    FAILING = "failing"
    OTHER_ZONE = "other-zone"
    NOT_DRAWN = "not-drawn"
    NOT_CHEAPER = "not-cheaper"
