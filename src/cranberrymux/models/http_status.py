"""HTTP status codes that separate kinds of answers."""

# Nothing below it is a status of HTTP.
MINIMUM = 100
# An answer below it is followed by another one.
MINIMUM_FINAL = 200
MINIMUM_REDIRECTION = 300
MINIMUM_ERROR = 400
MINIMUM_SERVER_ERROR = 500
