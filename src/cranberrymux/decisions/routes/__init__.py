"""Routes by host and path prefix: types, validation, lookup, weighted split."""
