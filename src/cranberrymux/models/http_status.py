"""HTTP status codes that separate kinds of answers."""

MINIMUM_SERVER_ERROR = 500
