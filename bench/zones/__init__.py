"""Simulation of callers and endpoints in several availability zones."""
