"""Chooses the YAML parser: PyYAML's C parser if the wheel has it."""

from typing import Any

import yaml

# The C parser is ten times faster than the one in Python; both return the
# same nodes.
LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
