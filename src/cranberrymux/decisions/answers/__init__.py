"""What the caller may conclude from what happened to a call."""
