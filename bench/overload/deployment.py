"""The two simulated deployments, with their services and requests."""

from typing import NamedTuple


class Service(NamedTuple):
    """A service with identical endpoints.

    Attributes:
        name: Unique name in its deployment.
        endpoints: Number of endpoints.
        slots: Calls that each backend server can run at once.
        connections: Connections that each backend server accepts.
        work_s: Mean seconds of its own work for a call, without downstream
            calls.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    work_s: float


class RequestKind(NamedTuple):
    """A kind of request, which makes a chain of nested calls.

    Attributes:
        name: Unique name in its deployment.
        class_rank: Rank of its class, 0 is shed last; ranks below
            `PROTECTED_RANKS` are protected.
        is_idempotent: True if a call with an unknown outcome may run again.
        share: Share of all requests, 0.0 to 1.0.
        chain: Names of the services; each calls the next one.
    """

    name: str
    class_rank: int
    is_idempotent: bool
    share: float
    chain: tuple[str, ...]


class Deployment(NamedTuple):
    """Services and kinds of requests that share a bottleneck service.

    Attributes:
        name: Name in the figures.
        zones: Number of availability zones.
        zone_delay_s: One-way delay in seconds between availability zones.
        services: All services.
        kinds: Kinds of requests; each makes one call to the deepest service,
            which is the bottleneck.
        deepest: Name of the last service of every chain.
    """

    name: str
    zones: int
    zone_delay_s: float
    services: tuple[Service, ...]
    kinds: tuple[RequestKind, ...]
    deepest: str

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the deepest service can complete."""
        for service in self.services:
            if service.name == self.deepest:
                return service.endpoints * service.slots / service.work_s
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
