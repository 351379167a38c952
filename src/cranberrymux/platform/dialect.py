"""Names of the HTTP headers that the platform uses."""

from cranberrymux.gateway import dialect

DIALECT = dialect.Dialect(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    caller_service=b"caller-service",
    # Carries the id of a backend server, not of an instance.
    expected_backend=b"expect-instance",
    proof=b"server-stamp",
    not_run=b"not-run",
    retry_after=b"retry-after",
    # The id of a backend server, as in `expected_backend`.
    backend_id=b"instance-id",
    load=b"server-load",
    # Requests a second, not a number of concurrent requests.
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    api_key=b"x-api-key",
    # Carries the name of a client account.
    account=b"tenant",
)
