"""Types of the decisions that admission returns.

A `Verdict` answers an offer; a `Decision` on a queued call is final.
"""

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import queued
from cranberrymux.models import refusal

Decision = admitted.Admitted | refusal.Refusal
Decisions = list[tuple[str, Decision]]
Verdict = admitted.Admitted | queued.Queued | refusal.Refusal
