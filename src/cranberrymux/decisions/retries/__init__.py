"""Whether a call may be tried again, bounded over the whole request."""
