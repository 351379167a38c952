"""Status codes of HTTP by which answers are told apart."""

MINIMUM_SERVER_ERROR = 500
