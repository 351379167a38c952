"""Announcements that a backend server sends to the node beside it."""
