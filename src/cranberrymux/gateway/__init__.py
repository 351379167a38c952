"""The node that serves routes: requests by host and path, to any endpoint."""
