"""Unified diffs of documents."""

import difflib

MAXIMUM_LINES = 5000
MAXIMUM_TEXT_LENGTH = 65_536


def compute(before: str, after: str, old: str, new: str) -> str:
    """Returns a unified diff, or one line where the texts are too long.

    Args:
        before: The old text.
        after: The new text.
        old: Name of the old text.
        new: Name of the new text.
    """
    old_lines = before.splitlines()
    new_lines = after.splitlines()
    if max(len(old_lines), len(new_lines)) > MAXIMUM_LINES:
        return f"{len(old_lines)} lines before, {len(new_lines)} lines after"
    lines = difflib.unified_diff(old_lines, new_lines, old, new, lineterm="")
    return "\n".join(lines)[:MAXIMUM_TEXT_LENGTH]
