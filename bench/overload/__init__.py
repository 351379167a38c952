"""Simulation of nodes, backend servers and clients under a virtual clock."""
