"""Computes unified diffs of configuration documents."""

from collections.abc import Iterable
from collections.abc import Sequence
import difflib
import itertools

MAXIMUM_LINES = 5000
# From the first to the last line that differs. Comparing them takes time that
# grows with the square of their number.
MAXIMUM_COMPARED_LINES = 400
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
        both line counts. If more than `MAXIMUM_COMPARED_LINES` lie between the
        first and the last line that differ, all of them as replaced.
    """
    old_lines = old_text.splitlines()
    new_lines = new_text.splitlines()
    if max(len(old_lines), len(new_lines)) > MAXIMUM_LINES:
        return f"{len(old_lines)} lines before, {len(new_lines)} lines after"
    same_before = _count_equal(zip(old_lines, new_lines, strict=False))
    same_after = _count_equal(
        zip(
            reversed(old_lines[same_before:]),
            reversed(new_lines[same_before:]),
            strict=False,
        )
    )
    old_part = old_lines[same_before : len(old_lines) - same_after]
    new_part = new_lines[same_before : len(new_lines) - same_after]
    diff_lines: Iterable[str]
    if max(len(old_part), len(new_part)) > MAXIMUM_COMPARED_LINES:
        diff_lines = itertools.chain(
            (f"--- {old_name}", f"+++ {new_name}"),
            _replace_all(same_before, old_part, new_part),
        )
    else:
        diff_lines = difflib.unified_diff(
            old_lines, new_lines, old_name, new_name, lineterm=""
        )
    shortened = (line[:MAXIMUM_LINE_CHARACTERS] for line in diff_lines)
    return "\n".join(shortened)[:MAXIMUM_DIFF_CHARACTERS]


def _count_equal(pairs: Iterable[tuple[str, str]]) -> int:
    equal = itertools.takewhile(lambda pair: pair[0] == pair[1], pairs)
    return sum(1 for _ in equal)


def _replace_all(
    same_before: int, old_part: Sequence[str], new_part: Sequence[str]
) -> Iterable[str]:
    """Yields one hunk that replaces lines after `same_before` equal ones."""
    first = same_before + 1
    yield f"@@ -{first},{len(old_part)} +{first},{len(new_part)} @@"
    for line in old_part:
        yield f"-{line}"
    for line in new_part:
        yield f"+{line}"
