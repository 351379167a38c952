"""Rate limits that backend servers name in their answers."""
