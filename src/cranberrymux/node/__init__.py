"""The process beside each backend server: the path of a call, both ways."""
