"""Entry point of the command-line tool."""

import sys

from lavenderledge import core, environment


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(core.main(sys.argv[1:], environment.Environment()))


if __name__ == '__main__':
    main()
