"""Finds the line of a key in a YAML text."""

import re

import yaml

from cranberrymux.settings import yaml_loader

_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


def find(text: str, key: str) -> int:
    """Returns the line, from 1, of a dotted key such as `classes[1].name`.

    A key that is not there gives the line of what should hold it.
    """
    node = yaml.compose(text, Loader=yaml_loader.LOADER)
    line = node.start_mark.line + 1 if node else 1
    for name, index in _STEP.findall(key):
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
