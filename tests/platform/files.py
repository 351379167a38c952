"""Files that other processes read while a test runs."""


def write_at_once(path, text):
    """Replaces a file, so that a program that starts never reads a part."""
    partial = path.with_name(f"{path.name}.partial")
    partial.write_text(text)
    partial.replace(path)
