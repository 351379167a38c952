"""Whole replies of another type."""

from cranberrymux.wire.gen.messages import ttypes
from tests.wire import test_control_replies as replies


def test_whole_reply_to_another_method_is_no_answer():
    """Guards against an answer of another type that lacks no field."""
    two_calls = replies._Calls()
    answer = ttypes.ClaimAnswer(
        verdict=ttypes.ClaimVerdict.GRANTED, status=0, retry_after_ms=0
    )
    answer.validate()
    two_calls.receive(replies.encode(1, answer, "claim"))
    assert two_calls.reasons == [replies.Reason.PROTOCOL, None]
