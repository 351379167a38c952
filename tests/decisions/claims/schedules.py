"""Random schedules over the claim ledger, with the invariant checked."""

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
    cuts = (0, 8, 12, 16, 20, 32)
    return "-".join(text[a:b] for a, b in zip(cuts, cuts[1:], strict=False))


REQUESTS = tuple(uuid7(START_MS, tail) for tail in range(2))
OWNERS = ("node-a", "node-b")
DIGESTS = ("body-1", "body-2")


class Run:
    """Applies operations and checks what every caller may rely on."""

    def __init__(self):
        self.ledger = claim_ledger.ClaimLedger(SETTINGS)
        self.now_ms = START_MS
        self.incarnations = dict.fromkeys(OWNERS, 1)
        self.asked = []
        self.count = 0
        self.grants = {}
        self.bodies = {}
        self.final = {}

    def step(self, operation, choice, other):
        getattr(self, operation)(choice, other)

    def claim(self, choice, other):
        """A new claim."""
        self._ask(self._make(choice, other))

    def delay(self, choice, other):
        """A new claim that is still under way; `resend` lets it arrive."""
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
        """A late copy of any earlier claim."""
        if self.asked:
            self._ask(self.asked[choice % len(self.asked)])

    def settle(self, choice, _):
        """An owner ends its call, perhaps again."""
        if self.asked:
            asked = self.asked[choice % len(self.asked)]
            self._settle(asked, 200, b"ok")

    def release(self, choice, _):
        """An owner that did not run the call gives the claim back."""
        running = {one.claim_id for one in self.grants.values()}
        free = [one for one in self.asked if one.claim_id not in self.bodies]
        if free:
            asked = free[choice % len(free)]
            answer = self._settle(asked, settlement.STATUS_NOT_RUN, None)
            was_released = (
                asked.claim_id in running
                and answer.verdict is Verdict.UNAVAILABLE
            )
            if was_released and self.grants.get(asked.key) == asked:
                del self.grants[asked.key]

    def run(self, choice, _):
        """An owner hands its granted call to the backend server."""
        granted = sorted(self.grants.values())
        if granted:
            asked = granted[choice % len(granted)]
            self.bodies.setdefault(asked.claim_id, asked.key)
            ran = [one for one, key in self.bodies.items() if key == asked.key]
            assert len(ran) == 1, f"{asked.key} ran by {ran}"

    def abandon(self, choice, _):
        """The control instances note that an owner ended."""
        if self.asked:
            asked = self.asked[choice % len(self.asked)]
            self.ledger.abandon(asked.key, asked.owner, asked.owner_incarnation)

    def restart(self, choice, _):
        """An owner starts again."""
        self.incarnations[OWNERS[choice % 2]] += 1

    def wait(self, choice, other):
        """Time passes, at most a third of the retention at once."""
        self.now_ms += (1, 1000, 60_000, 400_000)[choice % 4] * (other % 3)

    def snapshot(self, _, __):
        """A replica starts from a snapshot."""
        state = json.loads(json.dumps(self.ledger.dump()))
        self.ledger = claim_ledger.ClaimLedger(SETTINGS)
        self.ledger.restore(state)

    def _ask(self, asked):
        self.asked.append(asked)
        answer = self.ledger.claim(asked, self.now_ms)
        if answer.verdict is Verdict.GRANTED:
            known = self.grants.get(asked.key, asked)
            assert known == asked, f"granted to {known} and {asked}"
            assert asked.key not in self.final, "granted after its end"
            self.grants[asked.key] = asked
        self._check_final(asked, answer)
        if answer.verdict in (Verdict.SETTLED, Verdict.UNKNOWN_OUTCOME):
            first = self.grants[asked.key]
            assert first.principal == asked.principal, "told to another"
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
        told = self.final.get(asked.key)
        ends = (Verdict.SETTLED, Verdict.UNKNOWN_OUTCOME)
        if told is not None:
            assert answer.verdict in (
                told,
                Verdict.DIGEST_MISMATCH,
                Verdict.EXPIRED,
            ), f"{told} became {answer.verdict}"
        elif answer.verdict in ends:
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
    """Runs one schedule; raises AssertionError where a promise breaks."""
    run = Run()
    for _ in range(length):
        run.step(
            generator.choice(OPERATIONS),
            generator.randrange(1000),
            generator.randrange(1000),
        )
    return run
