"""Computes unified diffs of configuration documents."""

import difflib

MAXIMUM_LINES = 5000
# Of a line in the diff. A compressed document is one long line.
MAXIMUM_LINE_CHARACTERS = 1024
MAXIMUM_DIFF_CHARACTERS = 65_536


def compute(old_text: str, new_text: str, old_name: str, new_name: str) -> str:
    """Returns a unified diff, or a one-line summary of texts too long for it.

    Args:
        old_text: The old text.
        new_text: The new text.
        old_name: Name of the old text in the header of the diff.
        new_name: Name of the new text in the header of the diff.

    Returns:
        The diff, its lines cut after `MAXIMUM_LINE_CHARACTERS` and all of it
        after `MAXIMUM_DIFF_CHARACTERS` characters; empty for equal texts. If
        either text has more than `MAXIMUM_LINES` lines, one line that gives
        both line counts.
    """
    old_lines = old_text.splitlines()
    new_lines = new_text.splitlines()
    if max(len(old_lines), len(new_lines)) > MAXIMUM_LINES:
        return f"{len(old_lines)} lines before, {len(new_lines)} lines after"
    diff_lines = difflib.unified_diff(
        old_lines, new_lines, old_name, new_name, lineterm=""
    )
    shortened = (line[:MAXIMUM_LINE_CHARACTERS] for line in diff_lines)
    return "\n".join(shortened)[:MAXIMUM_DIFF_CHARACTERS]
