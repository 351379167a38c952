"""The header by which an answer shows to which request it belongs."""

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class RequestIdentity:
    """Header that a request bears and that its answer repeats.

    Attributes:
        header: Name of the header, in lower case.
        value: The request's id.
        is_required: True if an answer without the header is no answer to the
            request. Otherwise it is accepted on a connection on which no
            answer has had the header yet.
    """

    header: bytes
    value: bytes
    is_required: bool = True
