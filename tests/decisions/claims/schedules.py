"""Schedules of operations on the claim ledger that check its invariants.

The operations resend, delay, lose and reorder claims and settlements, restart
owners and replicas, and let time pass. Whatever their order, a call may run by
one claim only, and a final outcome never changes.
"""

import json

from cranberrymux.decisions.claims import claim
from cranberrymux.decisions.claims import claim_ledger
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.claims import claim_verdict
from cranberrymux.decisions.claims import settlement

Verdict = claim_verdict.ClaimVerdict
SETTINGS = claim_settings.ClaimSettings(
    accepted_age_ms=1_000_000, retention_ms=1_400_000, running_ms=50_000
)
START_MS = 1_700_000_000_000


def uuid7(created_ms, tail=0):
    number = (created_ms << 80) | (7 << 76) | (2 << 62) | tail
    text = f"{number:032x}"
    offsets = (0, 8, 12, 16, 20, 32)
    return "-".join(
        text[a:b] for a, b in zip(offsets, offsets[1:], strict=False)
    )


REQUESTS = tuple(uuid7(START_MS, tail) for tail in range(2))
OWNERS = ("node-a", "node-b")
DIGESTS = ("body-1", "body-2")


class ScheduleRun:
    """Applies operations to a ledger and checks every answer.

    Each operation takes two random numbers that select its arguments.
    """

    def __init__(self):
        self.ledger = claim_ledger.ClaimLedger(SETTINGS)
        self.now_ms = START_MS
        self.incarnations = dict.fromkeys(OWNERS, 1)
        self.asked = []
        self.count = 0
        self.grants = {}
        self.ran_claims = {}
        self.final = {}

    def step(self, operation, choice, other):
        getattr(self, operation)(choice, other)

    def claim(self, choice, other):
        """Sends a new claim."""
        self._ask(self._make(choice, other))

    def delay(self, choice, other):
        """Creates a claim that arrives only when `resend` selects it."""
        self.asked.append(self._make(choice, other))

    def _make(self, choice, other):
        owner = OWNERS[other % 2]
        self.count += 1
        return claim.Claim(
            REQUESTS[choice % 2],
            "1",
            DIGESTS[other // 2 % 8 == 7],
            owner,
            self.incarnations[owner],
            "ann" if other // 16 % 8 != 7 else "bob",
            f"claim-{self.count}",
        )

    def resend(self, choice, _):
        """Delivers a duplicate of an earlier claim, or a delayed claim."""
        if self.asked:
            self._ask(self.asked[choice % len(self.asked)])

    def settle(self, choice, _):
        """Settles a call with an answer, perhaps for the second time."""
        if self.asked:
            asked = self.asked[choice % len(self.asked)]
            self._settle(asked, 200, b"ok")

    def release(self, choice, _):
        """Releases a claim whose call its owner has not run."""
        running = {grant.claim_id for grant in self.grants.values()}
        not_run = [
            call for call in self.asked if call.claim_id not in self.ran_claims
        ]
        if not_run:
            asked = not_run[choice % len(not_run)]
            answer = self._settle(asked, settlement.STATUS_NOT_RUN, None)
            was_released = (
                asked.claim_id in running
                and answer.verdict is Verdict.UNAVAILABLE
            )
            if was_released and self.grants.get(asked.key) == asked:
                del self.grants[asked.key]

    def run(self, choice, _):
        """Sends a granted call to the backend server of its owner."""
        granted = sorted(self.grants.values())
        if granted:
            asked = granted[choice % len(granted)]
            self.ran_claims.setdefault(asked.claim_id, asked.key)
            ran = [
                one for one, key in self.ran_claims.items() if key == asked.key
            ]
            assert len(ran) == 1, f"{asked.key} ran by {ran}"

    def abandon(self, choice, _):
        """Reports to the ledger that an owner has ended."""
        if self.asked:
            asked = self.asked[choice % len(self.asked)]
            self.ledger.abandon(asked.key, asked.owner, asked.owner_incarnation)

    def restart(self, choice, _):
        """Restarts an owner, which gets a new incarnation."""
        self.incarnations[OWNERS[choice % 2]] += 1

    def wait(self, choice, other):
        """Advances the time by at most 800 s."""
        self.now_ms += (1, 1000, 60_000, 400_000)[choice % 4] * (other % 3)

    def snapshot(self, _, __):
        """Replaces the ledger by one restored from its snapshot."""
        state = json.loads(json.dumps(self.ledger.dump()))
        self.ledger = claim_ledger.ClaimLedger(SETTINGS)
        self.ledger.restore(state)

    def _ask(self, asked):
        self.asked.append(asked)
        answer = self.ledger.claim(asked, self.now_ms)
        if answer.verdict is Verdict.GRANTED:
            known = self.grants.get(asked.key, asked)
            assert known == asked, f"granted to {known} and {asked}"
            assert asked.key not in self.final, (
                "granted after its final outcome"
            )
            self.grants[asked.key] = asked
        self._check_final(asked, answer)
        if answer.verdict in (Verdict.SETTLED, Verdict.UNKNOWN_OUTCOME):
            first = self.grants[asked.key]
            assert first.principal == asked.principal, (
                "answer given to another principal"
            )
            assert first.body_digest == asked.body_digest

    def _settle(self, asked, status, body):
        answer = self.ledger.settle(
            settlement.Settlement(
                asked.request_id,
                asked.call_id,
                asked.owner,
                asked.owner_incarnation,
                asked.claim_id,
                status,
                body,
            ),
            self.now_ms,
        )
        self._check_final(asked, answer)
        return answer

    def _check_final(self, asked, answer):
        known = self.final.get(asked.key)
        final_verdicts = (Verdict.SETTLED, Verdict.UNKNOWN_OUTCOME)
        if known is not None:
            assert answer.verdict in (
                known,
                Verdict.DIGEST_MISMATCH,
                Verdict.EXPIRED,
            ), f"{known} became {answer.verdict}"
        elif answer.verdict in final_verdicts:
            self.final[asked.key] = answer.verdict


OPERATIONS = (
    "claim",
    "delay",
    "resend",
    "settle",
    "release",
    "run",
    "abandon",
    "restart",
    "wait",
    "snapshot",
)


def run_random(generator, length=60):
    """Runs one random schedule.

    Raises:
        AssertionError: An invariant of the ledger is violated.
    """
    run = ScheduleRun()
    for _ in range(length):
        run.step(
            generator.choice(OPERATIONS),
            generator.randrange(1000),
            generator.randrange(1000),
        )
    return run
