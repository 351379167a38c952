"""Tells which announcements are of the backend server beside the node."""

from collections.abc import Callable
from typing import Any

import structlog

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.presence import presence
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import backend_signals
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.gateway import startup_health_check
from cranberrymux.node import clock as clock_module

# Between a backend server and the node on the same instance.
MAXIMUM_CLOCK_ERROR_MS = 60_000
RETRY_INTERVAL_S = 0.5
# Longer than an announcement is late.
BELIEVED_AFTER_S = 6.0
_SERVING = announcement.BackendState.SERVING


class AnnouncementFilter:
    """Refuses announcements of others, and holds back unverified ones.

    A restarted node does not know what its earlier process has acknowledged:
    that the backend server drains or has left. An announcement from before that
    may arrive late. So the first one is held back until a health check is
    passed, which a backend server that leaves fails. One that cannot be checked
    is believed once its announcements have gone on for `BELIEVED_AFTER_S`.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        clock: clock_module.Clock,
        on_found: Callable[
            [announcement.Announcement, backend_signals.BackendSignals], None
        ],
        on_verified: Callable[[announcement.Announcement], Any],
        on_leaving: Callable[[str], Any],
    ) -> None:
        """Prepares the filter; health checks need a configuration.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            clock: Monotonic and wall clock.
            on_found: Called with the announcement that the answer to a health
                check stands for, and what the backend server says of itself.
            on_verified: Called with an announcement that was held back.
            on_leaving: Called with the id of a backend server that says that it
                is leaving.
        """
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._on_found = on_found
        self._on_verified = on_verified
        self._on_leaving = on_leaving
        self._is_verified = settings.is_first_start
        self._held: announcement.Announcement | None = None
        self._held_since_s = 0.0
        self._held_until_s = 0.0
        self._document: route_document.RouteDocument | None = None
        self._check: startup_health_check.StartupHealthCheck | None = None
        self._checked_s = 0.0
        self._events = structlog.get_logger()

    def use_document(self, document: route_document.RouteDocument) -> None:
        """Takes the path of the health check from a configuration."""
        self._document = document

    def check_health(self) -> None:
        """Sends a health check unless one is under way."""
        if self._document is None:
            return
        if self._check is not None and self._check.is_running:
            return
        self._checked_s = self._clock.now_s()
        self._check = startup_health_check.StartupHealthCheck(
            self._settings,
            self._reactor,
            self._on_found,
            self._health_confirmed,
            self._on_leaving,
        )
        self._check.start(self._document)

    def examine(
        self, received: announcement.Announcement
    ) -> presence.PresenceChange | None:
        """Returns None if an announcement is to be applied.

        Returns:
            `FOREIGN` for one of another backend server, `NONE` for one that is
            held back.
        """
        if self._is_foreign(received):
            self._events.warning(
                "announcement-of-another",
                backend_id=received.backend_id,
                service=received.service,
                address=received.address,
                started_ms=received.started_ms,
            )
            return presence.PresenceChange.FOREIGN
        if self._is_verified or received.state is not _SERVING:
            return None
        if self._has_gone_on(received):
            self._is_verified = True
            self._held = None
            return None
        self._hold(received)
        return presence.PresenceChange.NONE

    def retry(self) -> None:
        """Sends another health check if one is due; call it often."""
        now_s = self._clock.now_s()
        if self._held is None or now_s > self._held_until_s:
            return
        if now_s >= self._checked_s + RETRY_INTERVAL_S:
            self.check_health()

    def _is_foreign(self, received: announcement.Announcement) -> bool:
        settings = self._settings
        latest_start_ms = self._clock.now_unix_ms() + MAXIMUM_CLOCK_ERROR_MS
        return (
            received.service != settings.service
            or received.address != settings.backend_address
            or received.started_ms > latest_start_ms
        )

    def _has_gone_on(self, received: announcement.Announcement) -> bool:
        """True if announcements of a process came for long enough."""
        held = self._held
        return (
            held is not None
            and held.process == received.process
            and received.sequence > held.sequence
            and self._clock.now_s() >= self._held_since_s + BELIEVED_AFTER_S
        )

    def _hold(self, received: announcement.Announcement) -> None:
        now_s = self._clock.now_s()
        if (
            self._held is None
            or self._held.process != received.process
            or now_s > self._held_until_s
        ):
            self._held_since_s = now_s
            self.check_health()
        elif received.sequence <= self._held.sequence:
            return
        self._held = received
        self._held_until_s = now_s + self._settings.backend_lifetime_s

    def _health_confirmed(self, backend_id: str) -> None:
        held, self._held = self._held, None
        self._is_verified = True
        if (
            held is not None
            and backend_id in ("", held.backend_id)
            and self._clock.now_s() <= self._held_until_s
        ):
            self._on_verified(held)
