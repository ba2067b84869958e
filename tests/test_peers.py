"""Encoding and delivery of messages between instances."""

import asyncio
import collections
import contextlib
import os

import hypothesis
import pytest
import zmq
from hypothesis import strategies

from lavenderledge import clock
from lavenderledge.peers import codec, keys, link, messages, sockets
from tests import peermessages, relay

PAIR = keys.generate_pair()
TIMEOUT_S = 60
ALL_MESSAGES = strategies.one_of(
    *map(peermessages.build_strategy, peermessages.MESSAGE_TYPES)
)


class Node:
    """One link, the messages that it received and its counts."""

    def __init__(
        self, name, *, pair=PAIR, accepted_keys=(), listen='127.0.0.1:0'
    ):
        self.received = []
        self.counts = collections.Counter()
        self.link = link.PeerLink(
            instance=name,
            listen=listen,
            pair=pair,
            accepted_keys=accepted_keys,
            on_message=self.receive,
            count=self.count,
            clock=clock.SystemClock(),
        )
        assert self.link.start().is_ok()

    def receive(self, message):
        if message.request_id == 'explode':
            raise ValueError(message)
        self.received.append(message.request_id)

    def count(self, name, **labels):
        self.counts[(name, labels.get('reason', labels.get('state')))] += 1


@contextlib.asynccontextmanager
async def open_nodes(*nodes):
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.link.close()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def send_until_received(sender, receiver, name):
    """Send repeatedly, because a link may lose messages."""
    async with asyncio.timeout(TIMEOUT_S):
        while name not in receiver.received:
            sender.link.send('b', make_release(name))
            await asyncio.sleep(0.05)


def make_release(request_id):
    return messages.Release('a', 1, 'calculator', request_id, 3)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(message=ALL_MESSAGES)
def test_every_message_round_trips_or_fails_to_encode(message):
    encoded = codec.encode(message)
    if encoded.is_error():
        assert encoded.error.fault is codec.Fault.UNENCODABLE
        return
    decoded = codec.decode(encoded.ok)
    assert decoded.ok == message


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    noise=strategies.binary(max_size=64), kind=strategies.integers(0, 12)
)
@hypothesis.example(noise=b'\x93' * 5000, kind=7)
@hypothesis.example(noise=b'', kind=3)
def test_random_bytes_give_a_codec_failure(noise, kind):
    decoded = codec.decode(bytes((kind,)) + noise)
    assert decoded.is_error()
    assert isinstance(decoded.error, codec.CodecFailure)


def test_encoding_and_decoding_limit_the_size():
    body = bytes(codec.MAX_MESSAGE_BYTES)
    large = messages.TableCopy('a', 1, body)
    assert codec.encode(large).error.fault is codec.Fault.TOO_LARGE
    assert codec.decode(b'\x09' + body).error.fault is codec.Fault.TOO_LARGE
    assert codec.decode(b'').error.fault is codec.Fault.EMPTY


@pytest.mark.parametrize('text', ['', 'short', ' ' * 40, '~' * 40, 'é' * 40])
def test_an_invalid_secret_is_refused_and_not_in_the_error(text):
    failure = keys.parse_secret(text).error
    assert isinstance(failure, keys.KeyFailure)
    assert not text or text not in failure.detail


def test_a_secret_is_parsed_to_its_pair_and_is_not_in_the_repr():
    parsed = keys.parse_secret(PAIR.secret.decode()).ok
    assert parsed == PAIR
    assert PAIR.secret.decode() not in repr(parsed)


async def test_remote_and_local_messages_arrive_in_order():
    async with open_nodes(Node('a'), Node('b')) as (sender, receiver):
        sender.link.connect('b', receiver.link.address)
        names = [str(number) for number in range(300)]
        for name in names:
            sender.link.send('b', make_release(name))
            if int(name) % 50 == 0:
                await wait_until(lambda: receiver.received[-1:] == [name])
        sender.link.send('a', make_release('self'))
        assert not sender.link.send('c', make_release('nobody'))
        await wait_until(lambda: receiver.received == names)
        await wait_until(lambda: sender.received == ['self'])
        assert sender.counts[('peer_messages_dropped', 'no_link')] == 1
        totals = sender.link.list_traffic()[0]
        assert totals._replace(direction='received') in (
            receiver.link.list_traffic()
        )


async def test_a_failing_handler_and_malformed_bytes_do_not_stop_a_link():
    async with open_nodes(Node('a'), Node('b')) as (sender, receiver):
        sender.link.connect('b', receiver.link.address)
        sender.link.send('b', make_release('explode'))
        with zmq.Context() as context, context.socket(zmq.PUSH) as push:
            sockets.configure_client(push, PAIR, PAIR.public)
            push.setsockopt(zmq.IMMEDIATE, 0)
            push.connect(f'tcp://{receiver.link.address}')
            push.send(b'\x63noise')
            malformed = ('peer_messages_malformed', codec.Fault.UNKNOWN_KIND)
            await wait_until(lambda: receiver.counts[malformed] == 1)
        await send_until_received(sender, receiver, 'after')
        assert receiver.counts[('peer_handlers_failed', None)] == 1


async def test_unknown_keys_and_protocols_are_counted_and_rejected():
    unknown_pair = keys.generate_pair()
    async with open_nodes(Node('a'), Node('b')) as (sender, receiver):
        with zmq.Context() as context, context.socket(zmq.PUSH) as push:
            sockets.configure_client(push, unknown_pair, PAIR.public)
            push.setsockopt(zmq.IMMEDIATE, 0)
            push.connect(f'tcp://{receiver.link.address}')
            push.send(codec.encode(make_release('forged')).ok)
            unknown = ('peer_handshakes_failed', 'unknown_key')
            await wait_until(lambda: receiver.counts[unknown] >= 1)
        host, port = receiver.link.address.split(':')
        for noise in (b'GET / HTTP/1.1\r\n\r\n', b'\xff' + os.urandom(200)):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(noise)
            closed = receiver.counts[('peer_connections', 'closed')]
            await wait_until(
                lambda: receiver.counts[('peer_connections', 'closed')] > closed
            )
            writer.close()
        sender.link.connect('b', receiver.link.address)
        await send_until_received(sender, receiver, 'known')
        assert set(receiver.received) == {'known'}
        assert receiver.counts[('peer_connections', 'authenticated')] == 1


async def test_links_accept_both_key_pairs_during_a_rotation():
    new_pair = keys.generate_pair()
    sender = Node('a', pair=new_pair, accepted_keys=(PAIR.public,))
    receiver = Node('b', accepted_keys=(new_pair.public,))
    async with open_nodes(sender, receiver):
        sender.link.connect('b', receiver.link.address)
        await send_until_received(sender, receiver, 'rotated')
        assert sender.counts[('peer_sockets_renewed', None)] >= 1


@pytest.mark.parametrize('fault', ['silence', 'cut'])
async def test_a_broken_connection_is_replaced(fault):
    async with open_nodes(Node('a'), Node('b')) as (sender, receiver):
        relayed = relay.Relay(target=receiver.link.address)
        sender.link.connect('b', await relayed.start())
        await send_until_received(sender, receiver, 'before')
        getattr(relayed, fault)()
        await send_until_received(sender, receiver, 'after')
        assert relayed.accepted >= 2
        await relayed.close()


async def test_a_peer_that_refused_connections_is_reached_again():
    async with open_nodes(Node('a'), Node('b')) as (sender, receiver):
        relayed = relay.Relay(target=receiver.link.address)
        relayed.block()
        sender.link.connect('b', await relayed.start())
        sender.link.send('b', make_release('lost'))
        lost = ('peer_messages_dropped', 'no_connection')
        await wait_until(lambda: sender.counts[lost] == 1)
        relayed.unblock()
        await send_until_received(sender, receiver, 'after')
        assert 'lost' not in receiver.received
        await relayed.close()


async def test_a_peer_is_reached_after_a_restart_and_a_new_address():
    async with open_nodes(Node('a')) as (sender,):
        first = Node('b')
        address = first.link.address
        sender.link.update({'b': address})
        await send_until_received(sender, first, 'first')
        await first.link.close()
        async with open_nodes(Node('b', listen=address), Node('b')) as nodes:
            await send_until_received(sender, nodes[0], 'restarted')
            sender.link.update({'b': nodes[1].link.address})
            await send_until_received(sender, nodes[1], 'moved')
            sender.link.update({})
            assert sender.link.list_peers() == ()
