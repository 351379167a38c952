"""The story of one request, from the logs of several processes."""
