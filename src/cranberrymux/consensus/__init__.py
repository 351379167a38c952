"""Replicated log as a pure core: no sockets, no clock, no disk."""
