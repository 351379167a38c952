"""Value types that more than one layer shares."""
