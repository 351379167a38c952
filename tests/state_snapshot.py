"""Comparable snapshot of all that an object holds, at any depth.

Two snapshots are equal only if no attribute, item or random generator that can
be reached from the object has changed in between.
"""

import collections
import enum
import random
import types

import prometheus_client

PLAIN = (str, bytes, int, float, bool, type(None), enum.Enum, type)
CODE = (
    types.FunctionType,
    types.BuiltinFunctionType,
    types.ModuleType,
    types.GeneratorType,
)
MISSING = "(missing)"


def take(value, skipped=()):
    """Returns the snapshot of a value.

    Args:
        value: Any object.
        skipped: Types of objects that are left out.
    """
    return _Snapshot(skipped).take(value)


class _Snapshot:
    def __init__(self, skipped):
        self.skipped = (*CODE, *skipped)
        self.numbers = {}
        self.kept = []

    def take(self, value):
        if isinstance(value, PLAIN):
            return value
        if isinstance(value, self.skipped):
            return type(value).__name__
        if isinstance(value, random.Random):
            return value.getstate()
        if isinstance(value, prometheus_client.CollectorRegistry):
            return prometheus_client.generate_latest(value)
        known = self.numbers.setdefault(id(value), len(self.numbers))
        if known < len(self.kept):
            return ("seen", known)
        self.kept.append(value)
        return (type(value).__name__, self.look_into(value))

    def look_into(self, value):
        if isinstance(value, types.MethodType):
            return value.__name__, self.take(value.__self__)
        items = []
        if isinstance(value, dict):
            items = [(self.take(k), self.take(v)) for k, v in value.items()]
        elif isinstance(value, (set, frozenset)):
            items = sorted(map(repr, map(self.take, value)))
        elif isinstance(value, (list, tuple, collections.deque)):
            items = [self.take(each) for each in value]
        names = set(getattr(value, "__dict__", ()))
        for each in type(value).__mro__:
            names.update(getattr(each, "__slots__", ()))
        fields = [
            (name, self.take(getattr(value, name, MISSING)))
            for name in sorted(names - {"__weakref__", "__dict__"})
        ]
        return items, fields
