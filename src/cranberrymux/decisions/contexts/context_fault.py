"""Reasons for which a context is invalid."""

import enum


class ContextFault(enum.Enum):
    """The rule that an invalid context breaks.

    A number is valid if it is decimal without sign or leading zeros and lies
    in its range.

    Attributes:
        TOO_LONG: The header is longer than `limits.MAXIMUM_HEADER_BYTES`.
        FIELD_COUNT: The header has too few or too many fields.
        VERSION: The header's version is not supported.
        REQUEST_ID: The request id is not 1 to 64 of `A-Za-z0-9-`.
        CALL_ID: The call id is not 1 to 128 of `A-Za-z0-9.-`.
        PRINCIPAL: The principal is not percent-encoded UTF-8, contains control
            characters or is too long.
        TIMEOUT: The timeout is not a valid number.
        CLASS_RANK: The class rank is not a valid number.
        SHED_HASH: The shed hash is not a valid number.
        RETRY_BUDGET: The retry budget is not a valid number.
        ATTEMPT: The attempt is not a valid number.
        FLAGS: The flags are not `o`, `i`, `oi` or empty.
        TOO_DEEP: The call is nested deeper than the settings allow, or its
            call id is too long.
    """

    TOO_LONG = "too-long"
    FIELD_COUNT = "field-count"
    VERSION = "version"
    REQUEST_ID = "request-id"
    CALL_ID = "call-id"
    PRINCIPAL = "principal"
    TIMEOUT = "timeout"
    CLASS_RANK = "class-rank"
    SHED_HASH = "shed-hash"
    RETRY_BUDGET = "retry-budget"
    ATTEMPT = "attempt"
    FLAGS = "flags"
    TOO_DEEP = "too-deep"
