"""Entry point of `python -m cranberrymux.demo`."""

import sys
import tempfile

from cranberrymux.demo import scenario


def main() -> int:
    """Runs the demo; returns 0 if every expectation held, 1 otherwise."""
    with tempfile.TemporaryDirectory(prefix="cranberrymux-demo-") as folder:
        held = scenario.Scenario(folder).run()
    print("every expectation held" if held else "an expectation was MISSED")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
