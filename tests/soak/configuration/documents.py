"""Configurations whose routes move, come and go, so that runs tell them apart.

Each version has routes of its own, which earlier ones lack, and moves others to
another backend service.
"""

import json
import random
from typing import NamedTuple

from tests.platform import fleet as fleet_module

SERVICES = ("s2", "s3", "s4")
FIRST_PREFIXES = {"/first/": ("s2",), "/keep/": ("s3",)}
MOVING_PREFIXES = tuple(f"/move{number}/" for number in range(5))
# Requests on these routes must run once at most.
UNSAFE_PREFIXES = ("/keep/", "/move1/", "/move3/")
MAXIMUM_VERSION_STEP = 7
MAXIMUM_ADDED_ROUTES = 5
FILLING_ROUTES = (0, 0, 30, 200)


class Document(NamedTuple):
    """A configuration as it is sent.

    Attributes:
        version: Its number.
        base: Version that it builds on.
        routes: Backend services of each route, by path prefix.
        body: The encoded configuration.
        invalid_kind: What makes it invalid; empty for a valid one.
    """

    version: int
    base: int
    routes: dict[str, tuple[str, ...]]
    body: bytes
    invalid_kind: str = ""

    def permits(self, prefix, service):
        """True if it lets a service run a request; `""` is a 404."""
        if service:
            return service in self.routes.get(prefix, ())
        return prefix not in self.routes


EMPTY = Document(0, 0, {}, b"")


class Drawer:
    """Draws the configurations of one seed."""

    def __init__(self, seed):
        self._random = random.Random(f"documents {seed}")
        self._filling = self._random.choice(FILLING_ROUTES)
        self._drawn = 0

    def draw(self, base, version=None):
        """Returns a configuration on top of another one.

        Args:
            base: The one that it builds on; `EMPTY` for the first.
            version: Its number; drawn if None.
        """
        if version is None:
            version = base.version + self._random.randint(
                1, MAXIMUM_VERSION_STEP
            )
        self._drawn += 1
        routes = {**base.routes, **FIRST_PREFIXES}
        self._move(routes)
        self._drop_added(routes)
        for letter in "ab"[: self._random.randint(1, 2)]:
            prefix = f"/add{version}-{self._drawn}{letter}/"
            routes[prefix] = (self._random.choice(SERVICES),)
        body = self._encode(version, routes)
        return Document(version, base.version, routes, body)

    def _move(self, routes):
        for prefix in self._random.sample(MOVING_PREFIXES, 3):
            others = [
                (service,)
                for service in SERVICES
                if service not in routes.get(prefix, ())
            ]
            if prefix in routes and self._random.random() < 0.25:
                del routes[prefix]
            elif self._random.random() < 0.25:
                routes[prefix] = tuple(self._random.sample(SERVICES, 2))
            else:
                routes[prefix] = self._random.choice(others)

    def _drop_added(self, routes):
        added = [prefix for prefix in routes if prefix.startswith("/add")]
        while len(added) > MAXIMUM_ADDED_ROUTES:
            del routes[added.pop(0)]
        if added and self._random.random() < 0.6:
            del routes[self._random.choice(added)]

    def _encode(self, version, routes):
        values = json.loads(fleet_module.configuration(version))
        values["routes"]["rows"] = [
            self._make_row(f"r{place}", prefix, services)
            for place, (prefix, services) in enumerate(routes.items())
        ] + [
            self._make_row(f"f{place}", f"/fill{place}/", SERVICES[:1])
            for place in range(self._filling)
        ]
        values["services"]["rows"] = [
            [service, "/health", 400, "h1", False] for service in SERVICES
        ]
        return json.dumps(values).encode()

    def _make_row(self, name, prefix, services):
        is_unsafe = prefix in UNSAFE_PREFIXES
        split = None
        if len(services) > 1:
            split = [
                {"service": service, "weight": self._random.randint(20, 80)}
                for service in services
            ]
        return [
            name,
            "h.example",
            prefix,
            "unsafe" if is_unsafe else "safe",
            f"{self._random.randint(800, 1500)}ms",
            "1500ms",
            2,
            split,
            2,
            None if split else services[0],
        ]
