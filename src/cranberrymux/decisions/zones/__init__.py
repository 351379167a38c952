"""Which share of the requests for a service goes to which zone."""
