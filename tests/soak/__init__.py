"""Real programs as separate processes, with faults from outside them."""
