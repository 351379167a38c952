"""Names of the HTTP headers exchanged with clients and backend servers."""

from typing import NamedTuple


class Dialect(NamedTuple):
    """Names of the headers that differ between platforms, in lower case.

    Attributes:
        request_id: Id of one attempt of a client; repeated in the answer.
        deadline_ms: Milliseconds until the caller gives up.
        caller_service: Service of the instance at which a request began.
        expected_backend: Id of the only backend server that may run a request.
        proof: Marks answers that come from a backend server.
        not_run: Marks answers to requests that certainly did not run.
        retry_after: Seconds, with fractions, until the client may send again.
        backend_id: On answers to health checks, the id of the backend server.
        load: On answers of some backend servers, the numbers of running
            requests, waiting requests and slots and, for some, how long work
            takes on the machine in percent of the usual, separated by commas.
        rate_limit: On answers of a backend server that limits it, the number
            of requests a second that it accepts from all instances together.
        leaving: On all answers of a backend server that is leaving: `1`.
        api_key: On requests of clients, the key of a client account. Nodes
            pass it to nobody.
        account: On requests to backend servers, the name of that account.
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
    rate_limit: bytes
    leaving: bytes
    api_key: bytes
    account: bytes
