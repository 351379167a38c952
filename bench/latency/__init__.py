"""Parts of the benchmark of the path of a call."""
