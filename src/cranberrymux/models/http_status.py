"""HTTP status codes that separate kinds of answers."""

MINIMUM_ERROR = 400
MINIMUM_SERVER_ERROR = 500
