"""An open-loop load generator that validates every response."""
