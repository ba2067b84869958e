"""Runs an instance on the platform: ``python -m lavenderledge.platform``."""

import sys

from lavenderledge import environment
from lavenderledge.platform import documents, headers, store
from lavenderledge.proxy import core, watching

PLATFORM = watching.Platform(
    header_codec=headers.HEADER_CODEC,
    configuration_key=documents.CONFIGURATION_KEY,
    replicas_prefix=documents.REPLICAS_PREFIX,
    read_configuration=documents.read_configuration,
    read_replica=documents.read_replica,
    open_store=lambda address, pool: store.PlatformStore(
        address=address, pool=pool
    ),
)


def main() -> None:
    """Run an instance with the process's arguments and streams."""
    sys.exit(core.main(sys.argv[1:], environment.Environment(), PLATFORM))


if __name__ == '__main__':
    main()
