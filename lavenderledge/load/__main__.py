"""Entry point of the load tool."""

import sys

from lavenderledge import environment
from lavenderledge.load import core


def main() -> None:
    """Run the load tool and exit with its status."""
    sys.exit(core.main(sys.argv[1:], environment.Environment()))


if __name__ == '__main__':
    main()
