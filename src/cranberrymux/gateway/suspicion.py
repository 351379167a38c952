"""What a request's first node knows of backend servers that died under it."""

from cranberrymux.decisions.quarantine import fingerprint as fingerprints
from cranberrymux.gateway import hop
from cranberrymux.gateway import hop_answer
from cranberrymux.gateway import parts as parts_module
from cranberrymux.models import refusal
from cranberrymux.node import suspect_message
from cranberrymux.node.http import headers as headers_module

# Retry delay for callers of a request that is refused until it is forgotten.
MAXIMUM_RETRY_DELAY_S = 60.0


def encode(
    parts: parts_module.GatewayParts, fingerprint: fingerprints.Fingerprint
) -> headers_module.HeaderList:
    """Returns the header that tells another node what is known of a request."""
    reports = parts.quarantine.get_open_reports(fingerprint)
    if not reports:
        return []
    return [(hop.SUSPECT, suspect_message.encode_value(reports))]


def learn(parts: parts_module.GatewayParts, first: dict[bytes, bytes]) -> None:
    """Learns what another node says of a request.

    Args:
        parts: Shared state of the gateway.
        first: Headers of the request or answer, one of each name; that of
            suspects is among them.
    """
    reports = suspect_message.decode(first[hop.SUSPECT])
    if reports is None:
        parts.events.warning("bad-peer-message", detail="suspect header")
        return
    parts.quarantine.merge_from_caller(reports)


class Suspicion:
    """Whether a request that begins here may be sent to a backend server.

    Without records in the quarantine it may, so that nobody needs to ask.
    """

    def __init__(self, parts: parts_module.GatewayParts, digest: str) -> None:
        """Keeps the digest.

        Args:
            parts: Shared state of the gateway.
            digest: Digest of the request's content.
        """
        self._parts = parts
        self._digest = digest

    @property
    def is_refused(self) -> bool:
        """True if it may not be sent, unless as a trial that is due."""
        verdict = self._parts.quarantine.classify(self._fingerprint)
        return isinstance(verdict, refusal.Refusal) and self._wait_s > 0

    @property
    def is_suspect(self) -> bool:
        """True if deaths are known that count."""
        return self._parts.quarantine.is_suspect(self._fingerprint)

    @property
    def retry_delay_s(self) -> float:
        """Seconds after which a refused caller may try again."""
        return min(self._wait_s, MAXIMUM_RETRY_DELAY_S)

    def headers(self) -> headers_module.HeaderList:
        """Returns the headers that tell the endpoint's node what is known."""
        return encode(self._parts, self._fingerprint)

    def learn(self, answer: hop_answer.HopAnswer) -> None:
        """Learns from an answer of the endpoint's node."""
        learn(self._parts, answer.first)

    @property
    def _fingerprint(self) -> fingerprints.Fingerprint:
        return fingerprints.from_digest(self._digest)

    @property
    def _wait_s(self) -> float:
        return self._parts.quarantine.get_trial_wait_s(self._fingerprint)
