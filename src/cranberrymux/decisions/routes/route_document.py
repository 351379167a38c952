"""The routing configuration and its stored text form."""

from collections.abc import Generator
from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import packed_document
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.models import steps


class RouteDocument(NamedTuple):
    """A complete routing configuration.

    Attributes:
        label: Version number that the operator chose; strictly increasing,
            gaps are allowed.
        routes: All routes.
        services: All services that the routes refer to.
        limits: Limits on client connections.
        source: The text that the operator sent; returned unchanged when the
            configuration is read.
        accounts: All client accounts; without any, requests need no key.
    """

    label: int
    routes: tuple[route_module.Route, ...]
    services: tuple[backend_service.BackendService, ...]
    limits: client_limits.ClientLimits
    source: str
    accounts: tuple[client_account.ClientAccount, ...] = ()


class RouteDocumentError(NamedTuple):
    """Result for a text that is not a valid routing configuration.

    Attributes:
        detail: Human-readable cause, one line.
    """

    detail: str


class RouteDocumentHead(NamedTuple):
    """What can be read of a stored configuration without its tables.

    Attributes:
        label: See `RouteDocument`.
        source: See `RouteDocument`.
    """

    label: int
    source: str


LINES_PER_STEP = 500
# Characters of the encoded tables and the source from which on they are
# compressed. Control instances keep many texts, in the log and as versions.
PACKED_FROM_CHARACTERS = 1 << 15
HeadSteps = Generator[None, None, RouteDocumentHead | RouteDocumentError]
LoadSteps = Generator[None, None, RouteDocument | RouteDocumentError]


def dump(document: RouteDocument) -> str:
    """Encodes a document as JSON lines, one for each part of its tables.

    Large documents are compressed; see `packed_document`.

    Raises:
        ValueError: The document is larger than `load` accepts.
    """
    return steps.finish(dump_in_steps(document))


def dump_in_steps(document: RouteDocument) -> Generator[None, None, str]:
    """Encodes as `dump` does, `LINES_PER_STEP` lines between two yields."""
    lines = []
    for number, values in enumerate(_list_values(document), 1):
        if number % LINES_PER_STEP == 0:
            yield
        lines.append(json.dumps(values))
    text = "\n".join(lines) + "\n"
    if len(text) > packed_document.MAXIMUM_SECTION_BYTES:
        raise ValueError(
            f"the tables take {len(text)} bytes, limit"
            f" {packed_document.MAXIMUM_SECTION_BYTES}"
        )
    if len(text) + len(document.source) >= PACKED_FROM_CHARACTERS:
        return (
            yield from packed_document.pack_in_steps(
                document.label, document.source, text
            )
        )
    head = json.dumps({"label": document.label, "source": document.source})
    return f"{head}\n{text}"


def _list_values(document: RouteDocument) -> Iterator[dict[str, Any]]:
    """Yields the values of each line after the first."""
    yield {"limits": document.limits._asdict()}
    for service in document.services:
        yield {"service": list(service)}
    for route in document.routes:
        values = route._replace(
            targets=tuple(tuple(target) for target in route.targets)  # type: ignore[misc]
        )
        fields = [*values]
        fields[4] = route.repeatability.value
        yield {"route": fields}
    for account in document.accounts:
        yield {"account": list(account)}


def load(text: str) -> RouteDocument | RouteDocumentError:
    """Decodes the output of `dump`; returns an error for any other text."""
    return steps.finish(load_in_steps(text))


def load_label(text: str) -> int | None:
    """Returns the label of an output of `dump`; None for other texts."""
    try:
        if packed_document.is_packed(text):
            return packed_document.split(text).label
        label: int = json.loads(text.partition("\n")[0])["label"]
        return label
    except (ValueError, TypeError, KeyError):
        return None


def load_head_in_steps(text: str) -> HeadSteps:
    """Decodes label and source of `dump`; returns an error for other texts."""
    try:
        return (yield from _load_head(text))
    except (ValueError, TypeError, KeyError) as error:
        return RouteDocumentError(f"{type(error).__name__}: {error}")


def load_in_steps(text: str) -> LoadSteps:
    """Decodes as `load` does, `LINES_PER_STEP` lines between two yields.

    A large document would otherwise keep a process from its requests.
    """
    try:
        return (yield from _load(text))
    except (ValueError, TypeError, KeyError, IndexError) as error:
        return RouteDocumentError(f"{type(error).__name__}: {error}")


def _load_head(text: str) -> Generator[None, None, RouteDocumentHead]:
    if packed_document.is_packed(text):
        packed = packed_document.split(text)
        source = yield from packed_document.unpack_in_steps(packed.source)
        return RouteDocumentHead(packed.label, source)
    head = json.loads(text.partition("\n")[0])
    return RouteDocumentHead(head["label"], head["source"])


def _load(text: str) -> LoadSteps:
    head = yield from _load_head(text)
    if packed_document.is_packed(text):
        packed = packed_document.split(text)
        text = yield from packed_document.unpack_in_steps(packed.lines)
    else:
        text = text.partition("\n")[2]
    first, *rest = text.splitlines()
    limits = json.loads(first)
    services = []
    routes = []
    accounts = []
    for number, encoded in enumerate(rest, 1):
        if number % LINES_PER_STEP == 0:
            yield
        line = json.loads(encoded)
        if "service" in line:
            services.append(backend_service.BackendService(*line["service"]))
        elif "account" in line:
            name, keys, *quota = line["account"]
            accounts.append(
                client_account.ClientAccount(name, tuple(keys), *quota)
            )
        else:
            routes.append(_load_route(line["route"]))
    return RouteDocument(
        head.label,
        tuple(routes),
        tuple(services),
        client_limits.ClientLimits(**limits["limits"]),
        head.source,
        tuple(accounts),
    )


def _load_route(values: list[Any]) -> route_module.Route:
    route = route_module.Route(*values)
    targets = tuple(route_module.Target(*target) for target in values[3])
    return route._replace(
        targets=targets,
        repeatability=route_module.Repeatability(values[4]),
    )
