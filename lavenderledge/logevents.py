"""The log events of instances, and the fields of each.

Every line also has ``time``, ``level`` and ``event``.
"""

import types
import typing
from collections import abc

REQUEST: typing.Final = 'request'


def _list_fields(names: str) -> frozenset[str]:
    return frozenset(names.split())


SCHEMA: typing.Final[abc.Mapping[str, frozenset[str]]] = types.MappingProxyType(
    {
        # Requests. ``age_ms`` is the age of the configuration ``version`` that
        # the request was checked against, ``list_age_ms`` that of the list of
        # replicas behind the last grant, when the request was sent. The last
        # attempt's response made progress at ``progress_ms``. Failed requests
        # that replicas can't tell from each other have the same ``digest``.
        REQUEST: _list_fields(
            'id route service customer rank status outcome reason replica '
            'sends runs excluded failure framing ending body_bytes '
            'list_age_ms waited_ms first_ms progress_ms pause_ms events '
            'total_ms version '
            'age_ms allocator digest'
        ),
        # A silent attempt is kept while another one is tried; the first of them
        # to make progress ends the others.
        'hedge_started': _list_fields('id replica silent_ms'),
        'hedge_denied': _list_fields('id reason'),
        'attempt_overtaken': _list_fields('id replica silent_ms'),
        # An operator has asked for an explanation; the decision in it.
        'request_explained': _list_fields('instance outcome reason replica'),
        # Decisions of the allocator, at level DEBUG.
        'slot_granted': _list_fields(
            'instance id sender replica share list_age_ms'
        ),
        'slot_refused': _list_fields(
            'instance id sender reason retry_after_ms share list_age_ms'
        ),
        # The first time that a request finds no memory at any replica.
        'memory_waited': _list_fields(
            'instance id service replica tokens free_tokens'
        ),
        # Streams avoid some slots of a replica, or use all of them again.
        'pause_limit': _list_fields(
            'instance service replica sound_slots slots'
        ),
        'prompt_quarantined': _list_fields('instance service parts replicas'),
        'request_quarantined': _list_fields('instance digest replicas for_s'),
        'request_released': _list_fields('instance digest'),
        'quarantine_restored': _list_fields('instance digest'),
        'quarantine_unreadable': _list_fields('instance key'),
        'quarantines_unsaved': _list_fields('instance fault detail'),
        # State read from the store.
        'configuration_accepted': _list_fields(
            'instance version revision source size_bytes read_ms'
        ),
        # A peer has the version ``newest``.
        'configuration_outdated': _list_fields('instance version newest'),
        'configuration_unreadable': _list_fields('instance detail'),
        'service_limits_unreadable': _list_fields('detail'),
        'replicas_listed': _list_fields('instance count'),
        'replicas_changed': _list_fields('instance gone new usable'),
        'socket_call_refused': _list_fields('call detail'),
        # Availability of the store, peers and upstreams.
        'store_lost': _list_fields('instance prefix fault detail'),
        # ``failures`` is the number of calls that failed in a row.
        'store_regained': _list_fields('instance prefix failures'),
        'store_restored': _list_fields('instance prefix era'),
        'allocator_changed': _list_fields('instance before after'),
        'peer_silent': _list_fields('instance peer'),
        'peer_heard': _list_fields('instance peer'),
        'grant_lapsed': _list_fields('instance id'),
        'upstream_lost': _list_fields('instance replica failures'),
        'upstream_regained': _list_fields('instance replica'),
        # A replica says something else of itself in its answers than before, or
        # names a pause.
        'upstream_notice': _list_fields(
            'instance replica limit_per_s leaving pause_s'
        ),
        'peer_address_invalid': _list_fields('instance address error'),
        'peer_handler_failed': _list_fields('kind exception'),
        'peer_key_unknown': _list_fields('address'),
        # Memory. ``state`` is the level of the account (policy/memorybudget).
        'memory_level': _list_fields('instance state held_bytes waiting'),
        'memory_refused': _list_fields('instance reason size_bytes held_bytes'),
        'memory_shed': _list_fields('instance kind rank size_bytes held_bytes'),
        # Start, reload, stop and internal failures.
        'instance_started': _list_fields('instance listen'),
        'instance_joined': _list_fields('instance incarnation'),
        'peer_secret_changed': _list_fields('instance'),
        'link_failed': _list_fields('instance detail'),
        'reloaded': _list_fields('instance log_level'),
        'reload_failed': _list_fields('instance problems'),
        'stop_requested': _list_fields('instance connections'),
        'instance_stopped': _list_fields('instance cut'),
        'lines_dropped': _list_fields('count'),
        'handler_failed': _list_fields('exception'),
        'hedge_failed': _list_fields('exception'),
        'loop_failed': _list_fields('loop exception'),
        'detached_failed': _list_fields('error'),
    }
)
