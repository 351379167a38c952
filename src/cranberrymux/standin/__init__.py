"""A small backend server for development, demos and benchmarks."""
