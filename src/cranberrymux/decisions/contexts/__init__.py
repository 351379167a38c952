"""The context that travels with a call: its header and its children."""
