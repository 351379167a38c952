"""Keeps libraries out of processes that have no use for them."""

import sys

# Twisted supports TLS if pyOpenSSL can be imported, and works without. No
# program on the platform uses TLS. It and what it imports take 10 MB of memory.
_NAMES = ("OpenSSL",)


def exclude() -> None:
    """Has imports of these libraries fail, as if they were not installed.

    To be called before anything imports Twisted.
    """
    for name in _NAMES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
