"""What admission says of a call."""

from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import queued
from cranberrymux.models import refusal

Decision = admitted.Admitted | refusal.Refusal
Verdict = admitted.Admitted | queued.Queued | refusal.Refusal
