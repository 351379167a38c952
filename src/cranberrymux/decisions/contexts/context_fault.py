"""Reasons why a context is not valid."""

import enum


class ContextFault(enum.Enum):
    """Sentinels for what is wrong with a context.

    Attributes:
        TOO_LONG: The header is longer than `limits.MAXIMUM_HEADER_BYTES`.
        FIELD_COUNT: The header has too few or too many fields.
        VERSION: The header's version is not known.
        REQUEST_ID: Not 1 to 64 of `A-Za-z0-9-`.
        CALL_ID: Not 1 to 128 of `A-Za-z0-9.-`.
        PRINCIPAL: Not percent-encoded UTF-8 without control characters, or
            too long.
        TIMEOUT: Out of range, or not a plain number.
        CLASS_RANK: Out of range, or not a plain number.
        SHED_HASH: Out of range, or not a plain number.
        RETRY_BUDGET: Out of range, or not a plain number.
        ATTEMPT: Out of range, or not a plain number.
        FLAGS: Not `o`, `i`, `oi` or nothing.
        TOO_DEEP: The call lies deeper in its request than the settings allow.
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
