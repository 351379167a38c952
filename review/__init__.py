"""Cases of the review; each is a script of its own."""
