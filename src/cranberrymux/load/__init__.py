"""An open-loop load generator that checks every answer."""
