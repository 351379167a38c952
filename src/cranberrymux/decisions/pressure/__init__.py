"""Overload control across call trees.

Slots are assigned at each backend server; trees are refused at their root
while a service that they need lacks capacity.
"""
