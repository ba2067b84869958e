"""Entry point of the daemon."""

import sys

from lavenderledge import environment
from lavenderledge.daemon import core


def main() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(core.main(sys.argv[1:], environment.Environment()))


if __name__ == '__main__':
    main()
