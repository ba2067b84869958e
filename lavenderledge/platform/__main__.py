"""Runs an instance on the platform: ``python -m lavenderledge.platform``."""

import sys

from lavenderledge import environment
from lavenderledge.controllers import rolloutboard
from lavenderledge.platform import documents, headers, store
from lavenderledge.proxy import core, watching

PLATFORM = watching.Platform(
    header_codec=headers.HEADER_CODEC,
    configuration_key=documents.CONFIGURATION_KEY,
    replicas_prefix=documents.REPLICAS_PREFIX,
    read_configuration=documents.read_configuration,
    read_replica=documents.read_replica,
    rollout_formats=rolloutboard.Formats(
        orders_prefix=documents.ORDERS_PREFIX,
        status_prefix=documents.STATUS_PREFIX,
        records_prefix=documents.RECORDS_PREFIX,
        read_order=documents.read_rollout_order,
        encode_status=documents.encode_rollout_status,
        read_record=documents.read_rollout_record,
        encode_record=documents.encode_rollout_record,
    ),
    open_store=lambda address, pool: store.PlatformStore(
        address=address, pool=pool
    ),
)


def main() -> None:
    """Run an instance with the process's arguments and streams."""
    sys.exit(core.main(sys.argv[1:], environment.Environment(), PLATFORM))


if __name__ == '__main__':
    main()
