"""Client, paths and backend server of the latency benchmark."""
