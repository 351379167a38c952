"""The replicated state of the control instances."""

from collections.abc import Iterator
import json
from typing import Any

from cranberrymux.control import conversions
from cranberrymux.decisions.claims import claim_codec
from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.claims import claim_ledger
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.claims import suspect_ledger
from cranberrymux.decisions.configuration import ledger
from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import ttypes

CLAIMS_PER_PART = 1000
_FORMAT_VERSION = 2
# The whole configuration in the first line, and lists of claims in the others.
_WHOLE_CONFIGURATION_FORMAT_VERSION = 1


class StateMachine:
    """Applies committed commands to the three ledgers.

    Attributes:
        configuration: Configuration versions and their changes.
        claims: Claims of request ids.
        suspects: Endpoint deaths, counted for each request fingerprint.
    """

    def __init__(
        self, settings: claim_settings.ClaimSettings, now_ms: int = 0
    ) -> None:
        """Starts with empty ledgers.

        Args:
            settings: Ages and limits of claims.
            now_ms: Lower bound of the state's time, Unix milliseconds.
        """
        self.configuration = ledger.ConfigurationLedger()
        self.claims = claim_ledger.ClaimLedger(settings)
        self.suspects = suspect_ledger.SuspectLedger()
        self._now_ms = now_ms

    @property
    def now_ms(self) -> int:
        """Latest time of any applied command, Unix milliseconds."""
        return self._now_ms

    def apply(self, payload: bytes) -> Any:
        """Applies one encoded thrift `Command`; returns its `CommandAnswer`."""
        command = codec.decode(ttypes.Command, payload)
        self._now_ms = max(self._now_ms, command.at_ms)
        answer = ttypes.CommandAnswer(
            committed=True, rejected=False, retry_after_ms=0
        )
        if command.change is not None:
            change = conversions.decode_change(command.change)
            result = self.configuration.apply(change, self._now_ms)
            answer.change = conversions.encode_change_answer(result)
        elif command.claim is not None:
            claim = conversions.decode_claim(command.claim)
            answer.claim = conversions.encode_claim_answer(
                self.claims.claim(claim, self._now_ms)
            )
        elif command.settle is not None:
            settle = conversions.decode_settlement(command.settle)
            answer.claim = conversions.encode_claim_answer(
                self.claims.settle(settle, self._now_ms)
            )
        elif command.abandon is not None:
            asked = command.abandon
            self.claims.abandon(
                (asked.request_id, asked.call_id),
                asked.owner,
                asked.owner_incarnation,
            )
        elif command.suspect is not None:
            answer.suspect = self._apply_suspect(command.suspect)
        return answer

    def _apply_suspect(self, report: Any) -> Any:
        if report.items is None:
            self.suspects.report(
                report.fingerprint,
                f"{report.endpoint_id} {report.incarnation}",
                self._now_ms,
            )
            deaths = self.suspects.count(report.fingerprint)
            return ttypes.SuspectAnswer(deaths=deaths)
        for item in report.items:
            self.suspects.report(
                item.fingerprint,
                item.event_id,
                self._now_ms,
                item.maximum_ids or suspect_ledger.MAXIMUM_EVENTS,
            )
        event_ids = self.suspects.get(report.fingerprint)
        return ttypes.SuspectAnswer(deaths=len(event_ids), event_ids=event_ids)

    def dump(self) -> Iterator[bytes]:
        """Returns the encoded present state in parts that are to be joined.

        The state is captured at the call and encoded part by part, so that the
        caller can do other work, or apply commands, between the parts.
        """
        header = {
            "format": _FORMAT_VERSION,
            "now_ms": self._now_ms,
            "suspects": self.suspects.dump(),
        }
        return _encode_parts(
            header, self.configuration.dump(), self.claims.entries()
        )

    def restore(self, payload: bytes) -> None:
        """Replaces the whole state by one that `dump` encoded.

        Args:
            payload: The joined parts.

        Raises:
            ValueError: The payload has an unknown format version.
        """
        lines = _split_lines(payload)
        header = json.loads(next(lines))
        parts = _decode_parts(header, lines)
        self._now_ms = header["now_ms"]
        self.suspects.restore(header["suspects"])
        claims: list[Any] = []
        self.configuration.restore(_take_claims(parts, claims))
        self.claims.restore(claims)


def _encode_parts(
    header: dict[str, Any],
    configuration: Iterator[dict[str, Any]],
    claims: tuple[claim_entry.ClaimEntry, ...],
) -> Iterator[bytes]:
    yield _encode_line(header)
    for part in configuration:
        yield _encode_line(part)
    for start in range(0, len(claims), CLAIMS_PER_PART):
        some_claims = claims[start : start + CLAIMS_PER_PART]
        yield _encode_line({"claims": claim_codec.dump_entries(some_claims)})


def _encode_line(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def _split_lines(payload: bytes) -> Iterator[str]:
    """Returns the lines one by one, so that only one is held as a copy."""
    view = memoryview(payload)
    start = 0
    while start < len(payload):
        end = payload.find(b"\n", start)
        if end < 0:
            end = len(payload)
        yield str(view[start:end], "utf-8")
        start = end + 1


def _decode_parts(
    header: dict[str, Any], lines: Iterator[str]
) -> Iterator[dict[str, Any]]:
    """Decodes the lines after the first one, of this or the earlier format."""
    if header["format"] == _FORMAT_VERSION:
        yield from map(json.loads, lines)
    elif header["format"] == _WHOLE_CONFIGURATION_FORMAT_VERSION:
        yield header["configuration"]
        for line in lines:
            yield {"claims": json.loads(line)}
    else:
        raise ValueError(f"unknown snapshot format version {header['format']}")


def _take_claims(
    parts: Iterator[dict[str, Any]], claims: list[Any]
) -> Iterator[dict[str, Any]]:
    """Returns the parts of the configuration; adds the others to `claims`."""
    for part in parts:
        if "claims" in part:
            claims.extend(part["claims"])
        else:
            yield part
