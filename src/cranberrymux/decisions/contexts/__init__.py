"""The context of a call: its header and the contexts derived from it."""
