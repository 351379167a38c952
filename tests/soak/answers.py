"""Answers of the backend servers, as they are sent and as callers read them."""

from typing import NamedTuple

ID_HEADER = "Request-Id"
PROOF_HEADER = "Server-Stamp"
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
# Names the process that answered, for the checks only.
BACKEND_HEADER = "Answered-By"
FILLING = "." * 200


class Answer(NamedTuple):
    """An answer as its caller read it.

    Attributes:
        status: Status code.
        request_id: Id of the request that it names; empty if it names none.
        proof: Value of the header `Server-Stamp`; empty if it is missing.
        body: The body.
        backend: Id of the process of the backend server that answered; empty
            if a node did.
        rate_limit: The rate limit that it names; empty if it names none.
        is_leaving: True if it says that it is leaving.
    """

    status: int
    request_id: str
    proof: str
    body: str
    backend: str = ""
    rate_limit: str = ""
    is_leaving: bool = False


def make_body(request_id):
    """Returns the body that belongs to a request, and to no other one."""
    return f"answer to {request_id}{FILLING}"


def make_proof(request_id):
    return f"proof of {request_id}"


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read(connection):
    """Reads the answer to the request that was sent on a connection."""
    response = connection.getresponse()
    body = response.read().decode(errors="replace")
    return Answer(
        response.status,
        response.headers.get(ID_HEADER, ""),
        response.headers.get(PROOF_HEADER, ""),
        body,
        response.headers.get(BACKEND_HEADER, ""),
        response.headers.get(LIMIT_HEADER, ""),
        response.headers.get(LEAVING_HEADER, "") == "1",
    )


def find_mismatches(request_id, answer):
    """Returns what shows that an answer is not the whole one to a request.

    An answer that is no success may come from a node: it needs neither id nor
    proof.
    """
    if answer.request_id not in ("", request_id):
        return [f"the answer names {answer.request_id!r}"]
    if not 200 <= answer.status < 300:
        return []
    mismatches = []
    if not answer.request_id:
        mismatches.append("the success names no request")
    if answer.proof != make_proof(request_id):
        mismatches.append(f"the proof is {answer.proof!r}")
    if answer.body != make_body(request_id):
        mismatches.append(f"the body is {answer.body[:60]!r}")
    return mismatches
