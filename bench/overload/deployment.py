"""The two deployments of the brief: slots, endpoints, chains."""

from typing import NamedTuple


class Service(NamedTuple):
    """One service.

    Attributes:
        name: Its name.
        endpoints: Number of endpoints.
        slots: Calls that each backend server can run at once.
        connections: Connections that each backend server takes.
        work_s: Mean seconds of its own work for a call.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    work_s: float


class RequestKind(NamedTuple):
    """One kind of request: a chain of calls.

    Attributes:
        name: Its name.
        class_rank: Its class; ranks below `PROTECTED_RANKS` are protected.
        is_idempotent: True if it may be run again after a lost outcome.
        share: Share of all requests.
        chain: Services in the order in which they call each other.
    """

    name: str
    class_rank: int
    is_idempotent: bool
    share: float
    chain: tuple[str, ...]


class Deployment(NamedTuple):
    """One deployment.

    Attributes:
        name: Its name.
        zones: Number of availability zones.
        zone_delay_s: One way between availability zones.
        services: Its services.
        kinds: Its kinds of requests; each makes one call to the deepest
            service, which is the bottleneck.
        deepest: Name of the deepest service.
    """

    name: str
    zones: int
    zone_delay_s: float
    services: tuple[Service, ...]
    kinds: tuple[RequestKind, ...]
    deepest: str

    @property
    def capacity_per_s(self) -> float:
        """Whole requests a second that the deepest service can carry."""
        for one in self.services:
            if one.name == self.deepest:
                return one.endpoints * one.slots / one.work_s
        raise LookupError(self.deepest)


PROTECTED_RANKS = 2
CLIENT_DELAY_S = 0.003

CASCADE = Deployment(
    "cascade",
    4,
    0.001,
    (
        Service("crew-dispatch", 4, 70, 530, 0.04),
        Service("address-history", 6, 50, 400, 0.06),
        Service("photo-intake", 4, 70, 530, 0.1),
        Service("leak-notes", 4, 13, 180, 0.15),
    ),
    (
        RequestKind(
            "dispatch",
            0,
            False,
            0.25,
            ("crew-dispatch", "address-history", "leak-notes"),
        ),
        RequestKind("lookup", 1, True, 0.15, ("address-history", "leak-notes")),
        RequestKind("browse", 2, True, 0.4, ("address-history", "leak-notes")),
        RequestKind("photo", 3, False, 0.2, ("photo-intake", "leak-notes")),
    ),
    "leak-notes",
)

SERENDIB = Deployment(
    "serendib",
    3,
    0.0015,
    (
        Service("release-signing", 4, 65, 480, 0.04),
        Service("certificate-consultation", 6, 55, 420, 0.06),
        Service("dossier-upload", 3, 85, 600, 0.1),
        Service("release-ledger", 3, 35, 310, 0.25),
    ),
    (
        RequestKind(
            "sign",
            0,
            False,
            0.25,
            ("release-signing", "certificate-consultation", "release-ledger"),
        ),
        RequestKind(
            "consult",
            1,
            True,
            0.15,
            ("certificate-consultation", "release-ledger"),
        ),
        RequestKind(
            "audit",
            2,
            True,
            0.4,
            ("certificate-consultation", "release-ledger"),
        ),
        RequestKind(
            "dossier", 3, False, 0.2, ("dossier-upload", "release-ledger")
        ),
    ),
    "release-ledger",
)

DEPLOYMENTS = (CASCADE, SERENDIB)
