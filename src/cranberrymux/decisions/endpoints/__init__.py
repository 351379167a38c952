"""Load balancing of a gateway's requests over the endpoints of a service."""
