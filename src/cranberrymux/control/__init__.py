"""Control instances: replicated configuration, claims and directory."""
