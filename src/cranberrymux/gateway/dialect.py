"""Names of the HTTP headers that callers and backend servers use."""

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names, in lower case.

    Attributes:
        request_id: Id of one attempt of a client; echoed in answers.
        deadline_ms: Milliseconds until the caller gives up.
        caller_service: Service of the instance where a request began.
        expected_backend: Id of the one backend server that may run it.
        proof: On answers that a backend server made.
        not_run: On answers that prove that the request did not run.
        retry_after: Seconds until the caller may come back, with fractions.
        backend_id: On answers to health checks: who answers.
        load: On answers of some backend servers: requests that run, requests
            that wait and slots, separated by commas.
    """

    request_id: bytes
    deadline_ms: bytes
    caller_service: bytes
    expected_backend: bytes
    proof: bytes
    not_run: bytes
    retry_after: bytes
    backend_id: bytes
    load: bytes
