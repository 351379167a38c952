"""Builds the labels of requests and endpoints that selectors match."""

from collections.abc import Mapping
import posixpath
import re

from cranberrymux.models import endpoint_record

_ENCODED_UNRESERVED = re.compile(
    r"%(2[DdEe]|3[0-9]|4[1-9A-Fa-f]|5[0-9AaFf]|6[1-9A-Fa-f]|7[0-9AaEe])"
)


def make_request_labels(
    service: str,
    method: str,
    target: str,
    principal: str,
    labels: Mapping[str, str],
) -> dict[str, str]:
    """Builds the labels of a request.

    Args:
        service: Name of the called service.
        method: HTTP method.
        target: Request target as received; its normalized path without the
            query becomes the label `path`.
        principal: Name of the caller.
        labels: Further labels; they cannot replace the four fixed ones.

    Returns:
        `labels` with `service`, `method`, `path` and `principal`.
    """
    return {
        **labels,
        "service": service,
        "method": method,
        "path": normalize_path(target),
        "principal": principal,
    }


def make_endpoint_labels(
    record: endpoint_record.EndpointRecord,
) -> dict[str, str]:
    """Builds the labels of an endpoint.

    Returns:
        The labels that the backend server announced, with `service`,
        `endpoint`, `region` and `zone`, which announced labels cannot
        replace.
    """
    return {
        **record.labels,
        "service": record.service,
        "endpoint": record.endpoint_id,
        "region": record.region,
        "zone": record.zone,
    }


def normalize_path(target: str) -> str:
    """Normalizes the path of a request target.

    Drops the query, decodes unreserved characters, and resolves dot segments
    and repeated slashes, so that no alternative spelling of a path bypasses a
    selector.
    """
    path = target.partition("?")[0].partition("#")[0]
    if "%" in path:
        path = _ENCODED_UNRESERVED.sub(
            lambda match: chr(int(match.group(1), 16)), path
        )
    if "//" not in path and "/." not in path:
        return path
    normalized = "/" + posixpath.normpath(path).lstrip("/")
    return (
        normalized + "/"
        if path.endswith("/") and normalized != "/"
        else normalized
    )
