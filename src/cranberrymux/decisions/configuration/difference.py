"""Computes unified diffs of configuration documents."""

import difflib

MAXIMUM_LINES = 5000
MAXIMUM_TEXT_LENGTH = 65_536


def compute(before: str, after: str, old: str, new: str) -> str:
    """Returns a unified diff, or a one-line summary of texts too long for it.

    Args:
        before: The old text.
        after: The new text.
        old: Name of the old text in the header of the diff.
        new: Name of the new text in the header of the diff.

    Returns:
        The diff, cut after `MAXIMUM_TEXT_LENGTH` characters and empty for
        equal texts. If either text has more than `MAXIMUM_LINES` lines, one
        line that gives both line counts.
    """
    old_lines = before.splitlines()
    new_lines = after.splitlines()
    if max(len(old_lines), len(new_lines)) > MAXIMUM_LINES:
        return f"{len(old_lines)} lines before, {len(new_lines)} lines after"
    diff_lines = difflib.unified_diff(
        old_lines, new_lines, old, new, lineterm=""
    )
    return "\n".join(diff_lines)[:MAXIMUM_TEXT_LENGTH]
