"""Which calls run freely, alone or never again."""

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.decisions.quarantine import fingerprint as fingerprint_module
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import record as record_module
from cranberrymux.decisions.quarantine import records
from cranberrymux.decisions.quarantine import standing
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason


class Quarantine:
    """The quarantine at one endpoint.

    The node judges each call, offers a suspect to admission as one that runs
    alone, and tells `start` and `finish` of every call. When its backend
    server dies it tells `endpoint_died` and passes the reports on; reports
    from elsewhere come in by `merge_report`.
    """

    def __init__(
        self,
        settings: quarantine_settings.QuarantineSettings,
        endpoint_id: str,
        incarnation: int,
    ) -> None:
        """Starts with no records."""
        self._settings = settings
        self._endpoint_id = endpoint_id
        self._incarnation = incarnation
        self._records = records.Records(settings)
        self._running: dict[str, fingerprint_module.Fingerprint] = {}
        self._suspects: set[str] = set()
        self._deaths = 0

    @property
    def record_count(self) -> int:
        """Number of records kept."""
        return len(self._records)

    def judge(
        self,
        now_s: float,
        fingerprint: fingerprint_module.Fingerprint,
        lost_attempts: int = 0,
    ) -> standing.Standing | refusal.Refusal:
        """Decides how a call may run.

        Args:
            now_s: Monotonic seconds.
            fingerprint: The call.
            lost_attempts: Earlier attempts whose backend server was lost, as
                its caller tells; it may know before the shared counts do.

        Returns:
            Its standing, or the final refusal once it has cost the service as
            many backend servers as it may.
        """
        deaths = max(self._count_open(now_s, fingerprint), lost_attempts)
        held = [self._records.get(now_s, key) for key in fingerprint.keys]
        was_sole = any(one.was_sole for one in held if one is not None)
        settings = self._settings
        allowed = settings.maximum_deaths
        if was_sole:
            allowed = min(allowed, settings.deaths_if_sole)
        if deaths >= allowed:
            id_record = held[0]
            has_run = id_record is not None and id_record.open_deaths > 0
            return refusal.Refusal(
                # An earlier sending under this id may have had an effect.
                answer_kind.AnswerKind.UNKNOWN
                if has_run or lost_attempts
                else answer_kind.AnswerKind.NOT_RUN,
                refusal_reason.RefusalReason.QUARANTINED,
                f"{deaths} backend servers died running it",
            )
        if deaths >= settings.deaths_to_alone:
            return standing.Standing.ALONE
        if deaths:
            return standing.Standing.SUSPECT
        return standing.Standing.CLEAR

    def start(
        self,
        ticket_id: str,
        fingerprint: fingerprint_module.Fingerprint,
        *,
        is_suspect: bool,
    ) -> None:
        """Notes that a call is in flight on the backend server.

        Args:
            ticket_id: The call.
            fingerprint: The same as it was judged by.
            is_suspect: True if it was not judged `CLEAR`.
        """
        self._running[ticket_id] = fingerprint
        if is_suspect:
            self._suspects.add(ticket_id)

    def finish(
        self, now_s: float, ticket_id: str, is_clean: bool
    ) -> list[clear_report.ClearReport]:
        """Notes the end of a call while its backend server lives.

        Args:
            now_s: Monotonic seconds.
            ticket_id: The call; one that does not run is ignored.
            is_clean: True if the backend server ran it to its end. A call
                that was cancelled proves nothing.

        Returns:
            Reports of what the clean run cleared, for the shared state.
        """
        fingerprint = self._running.pop(ticket_id, None)
        self._suspects.discard(ticket_id)
        if fingerprint is None or not is_clean:
            return []
        return self._clear(now_s, fingerprint)

    def endpoint_died(self, now_s: float) -> list[death_report.DeathReport]:
        """Makes a suspect of every call in flight.

        Returns:
            Reports for the shared state, one for each key.
        """
        self._deaths += 1
        in_flight = sorted(set(self._running.values()))
        sole: tuple[str, ...] = ()
        if len(self._suspects) == 1:
            sole = self._running[next(iter(self._suspects))].keys
        self._running.clear()
        self._suspects.clear()
        digests: dict[str, frozenset[str]] = {}
        for one in in_flight:
            id_key, digest_key = one.keys
            digests[id_key] = digests.get(id_key, frozenset()) | {one.digest}
            digests[digest_key] = frozenset()
        for key, seen in digests.items():
            self._blame(now_s, key, seen, key in sole)
        return [self._report_death(key, key in sole) for key in digests]

    def merge_report(
        self,
        now_s: float,
        key: str,
        deaths: int,
        cleared: int = 0,
        *,
        was_sole: bool = False,
    ) -> None:
        """Takes counts from shared state; the larger of each count stays.

        Args:
            now_s: Monotonic seconds.
            key: One of `Fingerprint.keys`.
            deaths: Distinct deaths reported by all nodes of the service.
            cleared: The largest count of a `ClearReport`.
            was_sole: True if one of the deaths not cleared was alone.
        """
        old = self._records.get(now_s, key) or record_module.NONE
        merged = old._replace(
            deaths=max(deaths, old.deaths),
            cleared=max(cleared, old.cleared),
            was_sole=was_sole or old.was_sole,
        )
        if merged.open_deaths <= 0:
            merged = merged._replace(was_sole=False)
        if merged != old:
            self._records.put(key, merged._replace(changed_s=now_s))

    def _count_open(
        self, now_s: float, fingerprint: fingerprint_module.Fingerprint
    ) -> int:
        held = [self._records.get(now_s, key) for key in fingerprint.keys]
        known = [record for record in held if record is not None]
        return max((one.open_deaths for one in known), default=0)

    def _blame(
        self, now_s: float, key: str, digests: frozenset[str], was_sole: bool
    ) -> None:
        old = self._records.get(now_s, key) or record_module.NONE
        self._records.put(
            key,
            record_module.Record(
                old.deaths + 1,
                old.cleared,
                was_sole or old.was_sole,
                now_s,
                old.digests | digests,
            ),
        )

    def _clear(
        self, now_s: float, fingerprint: fingerprint_module.Fingerprint
    ) -> list[clear_report.ClearReport]:
        id_key, digest_key = fingerprint.keys
        reports = []
        digest_record = self._records.get(now_s, digest_key)
        if digest_record is not None and digest_record.open_deaths:
            reports.append(self._clear_key(now_s, digest_key, digest_record))
        id_record = self._records.get(now_s, id_key)
        if id_record is None or fingerprint.digest not in id_record.digests:
            return reports
        left = id_record.digests - {fingerprint.digest}
        id_record = id_record._replace(digests=left)
        if left:
            # Another call of the same request may still be the cause.
            self._records.put(id_key, id_record._replace(changed_s=now_s))
            return reports
        reports.append(self._clear_key(now_s, id_key, id_record))
        return reports

    def _clear_key(
        self, now_s: float, key: str, record: record_module.Record
    ) -> clear_report.ClearReport:
        record = record._replace(
            cleared=record.deaths, was_sole=False, changed_s=now_s
        )
        self._records.put(key, record)
        return clear_report.ClearReport(key, record.deaths)

    def _report_death(
        self, key: str, was_sole: bool
    ) -> death_report.DeathReport:
        return death_report.DeathReport(
            key, self._endpoint_id, self._incarnation, self._deaths, was_sole
        )
