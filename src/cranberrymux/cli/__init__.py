"""The `cranberrymux` command line for operators."""
