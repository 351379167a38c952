"""Routes by host and path prefix: their types, checks, look-up and split."""
