"""Decides how isolated a call runs after deaths of backend servers."""

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_record
from cranberrymux.decisions.quarantine import death_records
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.decisions.quarantine import fingerprint as fingerprint_module
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason


class Quarantine:
    """Counts deaths by fingerprint and classifies the calls of one endpoint.

    For every call, the node calls `classify`, then passes the result on to
    admission, which isolates suspects, and calls `start` and `finish`. When
    its backend server dies, it calls `endpoint_died` and sends the reports to
    the shared state. Reports of other nodes are taken in by `merge_report`.
    """

    def __init__(
        self,
        settings: quarantine_settings.QuarantineSettings,
        endpoint_id: str,
        incarnation: int,
    ) -> None:
        """Creates a quarantine without records.

        Args:
            settings: Thresholds and limits.
            endpoint_id: The endpoint of this node, for its reports.
            incarnation: Start time of this node, for its reports.
        """
        self._settings = settings
        self._endpoint_id = endpoint_id
        self._incarnation = incarnation
        self._records = death_records.DeathRecords(settings)
        self._running: dict[str, fingerprint_module.Fingerprint] = {}
        self._suspects: set[str] = set()
        self._deaths = 0

    @property
    def record_count(self) -> int:
        """Number of keys with a death record."""
        return len(self._records)

    def classify(
        self,
        now_s: float,
        fingerprint: fingerprint_module.Fingerprint,
        lost_attempts: int = 0,
    ) -> isolation.Isolation | refusal.Refusal:
        """Decides how a call may run, by the deaths counted for it.

        Args:
            now_s: Monotonic seconds.
            fingerprint: Fingerprint of the call.
            lost_attempts: Earlier attempts that lost their backend server, as
                reported by the caller, which may know of a death before the
                shared counts do.

        Returns:
            The isolation of the call, or a final refusal once the service has
            lost the allowed number of backend servers to it.
        """
        deaths = max(self._count_open_deaths(now_s, fingerprint), lost_attempts)
        found = [self._records.get(now_s, key) for key in fingerprint.keys]
        was_sole = any(one.was_sole for one in found if one is not None)
        settings = self._settings
        allowed = settings.maximum_deaths
        if was_sole:
            allowed = min(allowed, settings.maximum_deaths_if_sole)
        if deaths >= allowed:
            id_record = found[0]
            has_run = id_record is not None and id_record.open_deaths > 0
            return refusal.Refusal(
                # An earlier attempt under this id may have had an effect.
                answer_kind.AnswerKind.UNKNOWN
                if has_run or lost_attempts
                else answer_kind.AnswerKind.NOT_RUN,
                refusal_reason.RefusalReason.QUARANTINED,
                f"{deaths} backend servers died while running this call",
            )
        if deaths >= settings.deaths_to_alone:
            return isolation.Isolation.ALONE
        if deaths:
            return isolation.Isolation.SUSPECT
        return isolation.Isolation.CLEAR

    def start(
        self,
        ticket_id: str,
        fingerprint: fingerprint_module.Fingerprint,
        *,
        is_suspect: bool,
    ) -> None:
        """Records that a call is in flight on the backend server.

        Args:
            ticket_id: Id of the call at admission.
            fingerprint: The fingerprint that was passed to `classify`.
            is_suspect: True if the result of `classify` was not `CLEAR`.
        """
        self._running[ticket_id] = fingerprint
        if is_suspect:
            self._suspects.add(ticket_id)

    def finish(
        self, now_s: float, ticket_id: str, is_clean: bool
    ) -> list[clear_report.ClearReport]:
        """Records the end of a call whose backend server is still alive.

        Args:
            now_s: Monotonic seconds.
            ticket_id: Id of the call at admission; ignored if not in flight.
            is_clean: True if the backend server ran the call to its end.
                Nothing is cleared otherwise, such as by a cancelled call.

        Returns:
            Reports for the shared state of the deaths that no longer count.
        """
        fingerprint = self._running.pop(ticket_id, None)
        self._suspects.discard(ticket_id)
        if fingerprint is None or not is_clean:
            return []
        return self._clear(now_s, fingerprint)

    def endpoint_died(self, now_s: float) -> list[death_report.DeathReport]:
        """Records the death of the backend server for every call in flight.

        All of these calls are suspects from now on, and none is in flight.

        Returns:
            Reports for the shared state, one for each key.
        """
        self._deaths += 1
        in_flight = sorted(set(self._running.values()))
        sole_keys: tuple[str, ...] = ()
        if len(self._suspects) == 1:
            sole_keys = self._running[next(iter(self._suspects))].keys
        self._running.clear()
        self._suspects.clear()
        digests_by_key: dict[str, frozenset[str]] = {}
        for one in in_flight:
            id_key, digest_key = one.keys
            digests_by_key[id_key] = digests_by_key.get(id_key, frozenset()) | {
                one.digest
            }
            digests_by_key[digest_key] = frozenset()
        for key, digests in digests_by_key.items():
            self._record_death(now_s, key, digests, key in sole_keys)
        return [
            self._make_report(key, key in sole_keys) for key in digests_by_key
        ]

    def merge_report(
        self,
        now_s: float,
        key: str,
        deaths: int,
        cleared: int = 0,
        *,
        was_sole: bool = False,
    ) -> None:
        """Merges counts of the shared state; the larger of each count is kept.

        Args:
            now_s: Monotonic seconds.
            key: One of `Fingerprint.keys`.
            deaths: Distinct deaths reported by all nodes of the service.
            cleared: Largest `deaths` of the `ClearReport`s for the key.
            was_sole: True if the key was the only suspect in flight at one of
                the deaths that are not cleared.
        """
        old = self._records.get(now_s, key) or death_record.EMPTY
        merged = old._replace(
            deaths=max(deaths, old.deaths),
            cleared=max(cleared, old.cleared),
            was_sole=was_sole or old.was_sole,
        )
        if merged.open_deaths <= 0:
            merged = merged._replace(was_sole=False)
        if merged != old:
            self._records.put(key, merged._replace(changed_s=now_s))

    def _count_open_deaths(
        self, now_s: float, fingerprint: fingerprint_module.Fingerprint
    ) -> int:
        """Returns the larger of the open deaths of the two keys."""
        found = [self._records.get(now_s, key) for key in fingerprint.keys]
        known = [record for record in found if record is not None]
        return max((one.open_deaths for one in known), default=0)

    def _record_death(
        self, now_s: float, key: str, digests: frozenset[str], was_sole: bool
    ) -> None:
        old = self._records.get(now_s, key) or death_record.EMPTY
        self._records.put(
            key,
            death_record.DeathRecord(
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
        """Clears the deaths of a call that has run to its end.

        The request id is cleared only when every digest that was in flight
        under it has run to its end.
        """
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
            # Another call of the same request may be the cause of the death.
            self._records.put(id_key, id_record._replace(changed_s=now_s))
            return reports
        reports.append(self._clear_key(now_s, id_key, id_record))
        return reports

    def _clear_key(
        self, now_s: float, key: str, record: death_record.DeathRecord
    ) -> clear_report.ClearReport:
        record = record._replace(
            cleared=record.deaths, was_sole=False, changed_s=now_s
        )
        self._records.put(key, record)
        return clear_report.ClearReport(key, record.deaths)

    def _make_report(
        self, key: str, was_sole: bool
    ) -> death_report.DeathReport:
        return death_report.DeathReport(
            key, self._endpoint_id, self._incarnation, self._deaths, was_sole
        )
