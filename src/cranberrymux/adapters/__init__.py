"""HTTP transport between operators' sessions and control instances."""
