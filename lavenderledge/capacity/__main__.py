"""Entry point of ``python -m lavenderledge.capacity``."""

import sys

from lavenderledge import environment
from lavenderledge.capacity import core


def main() -> None:
    """Run the measurements and exit with their status."""
    sys.exit(core.main(sys.argv[1:], environment.Environment()))


if __name__ == '__main__':
    main()
