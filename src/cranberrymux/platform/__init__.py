"""The users' platform: its names, formats and calls, turned into our types."""
