"""Settings, results and errors of an operator's session."""
