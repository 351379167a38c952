"""The labels of a request and of an endpoint that selectors see."""

from collections.abc import Mapping
import posixpath
import re

from cranberrymux.models import endpoint_record

_UNRESERVED = re.compile(
    r"%(2[DdEe]|3[0-9]|4[1-9A-Fa-f]|5[0-9AaFf]|6[1-9A-Fa-f]|7[0-9AaEe])"
)


def request_labels(
    service: str,
    method: str,
    target: str,
    principal: str,
    labels: Mapping[str, str],
) -> dict[str, str]:
    """Makes the labels of a request.

    Args:
        service: The service called.
        method: HTTP method.
        target: Request target as received; the query is left out.
        principal: Who asks.
        labels: Operators' labels; they cannot replace the four above.

    Returns:
        Labels with `service`, `method`, `path` and `principal`.
    """
    return {
        **labels,
        "service": service,
        "method": method,
        "path": normalize_path(target),
        "principal": principal,
    }


def endpoint_labels(record: endpoint_record.EndpointRecord) -> dict[str, str]:
    """Makes the labels of an endpoint.

    Returns:
        What the backend server announced, with `service`, `endpoint`,
        `region` and `zone`, which its own labels cannot replace.
    """
    return {
        **record.labels,
        "service": record.service,
        "endpoint": record.endpoint_id,
        "region": record.region,
        "zone": record.zone,
    }


def normalize_path(target: str) -> str:
    """Brings the spellings of one path to one form.

    Drops the query, decodes unreserved characters, resolves dot segments and
    repeated slashes, so that no spelling gets round a selector.
    """
    path = target.partition("?")[0].partition("#")[0]
    if "%" in path:
        path = _UNRESERVED.sub(lambda match: chr(int(match.group(1), 16)), path)
    if "//" not in path and "/." not in path:
        return path
    normal = "/" + posixpath.normpath(path).lstrip("/")
    return normal + "/" if path.endswith("/") and normal != "/" else normal
