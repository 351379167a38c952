"""For how much work the report of a refusal stands.

Guards against an overloaded endpoint whose share hardly counts, as it refuses
what it is offered, and against an idle one whose backend server refuses all.
"""

from unittest import mock

import pytest

from cranberrymux.gateway import exit_answers
from cranberrymux.gateway import hop

HOLD_S = 0.25


def report_offered_s(reason: bytes, headers: dict[bytes, bytes]) -> object:
    call = mock.MagicMock()
    call.head.headers.first = headers
    owner = mock.MagicMock()
    owner.work.encode_load.return_value = []
    owner.work.report_refusal.return_value = {}
    owner.work.pressure.get_hold_s.return_value = HOLD_S
    owner.limit.encode.return_value = []
    owner.suspects.encode.return_value = []
    answers = exit_answers.ExitAnswers(
        mock.MagicMock(), owner, call, hop.DEFAULT_TREE_CONTEXT
    )
    answers.refuse(reason)
    return owner.work.report_refusal.call_args.args[1]


@pytest.mark.parametrize(
    ("reason", "is_resent", "offered_s"),
    [
        (hop.FULL, False, HOLD_S),
        (hop.FULL, True, 0.0),
        (hop.BACKEND_FULL, False, 0.0),
        (hop.LIMITED, False, None),
    ],
)
def test_only_work_that_was_offered_first_counts(reason, is_resent, offered_s):
    headers = {hop.RESENT: b"1"} if is_resent else {}
    assert report_offered_s(reason, headers) == offered_s
