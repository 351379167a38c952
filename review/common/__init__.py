"""Stand-ins that the cases share."""
