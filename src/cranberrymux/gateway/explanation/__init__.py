"""Explains where a node would send a request now, without sending it."""
