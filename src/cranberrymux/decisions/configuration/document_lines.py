"""Maps keys of a YAML text to line numbers."""

import re

import yaml

from cranberrymux.settings import yaml_loader

_KEY_PART = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


def find(text: str, key: str) -> int:
    """Returns the line of a key.

    Args:
        text: Valid YAML.
        key: Dotted path such as `classes[1].name`.

    Returns:
        The line number, from 1; for a missing key, the line of the innermost
        parent that exists.
    """
    node = yaml.compose(text, Loader=yaml_loader.LOADER)
    line = node.start_mark.line + 1 if node else 1
    for name, index in _KEY_PART.findall(key):
        if index and isinstance(node, yaml.SequenceNode):
            node = node.value[int(index)]
            line = node.start_mark.line + 1
            continue
        if not isinstance(node, yaml.MappingNode):
            return line
        for key_node, value_node in node.value:
            if key_node.value == name:
                line = key_node.start_mark.line + 1
                node = value_node
                break
        else:
            return line
    return line
