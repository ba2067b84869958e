"""The links between instances."""

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
LIMIT_S = 60
ALL_KINDS = strategies.one_of(
    *map(peermessages.draw_within, peermessages.KINDS)
)


class End:
    """One link and what it received and counted."""

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
async def open_ends(*ends):
    try:
        yield ends
    finally:
        for end in ends:
            await end.link.close()


async def wait_until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def send_until_heard(sender, receiver, name):
    """Send over and over: a link may lose messages, never its peer."""
    async with asyncio.timeout(LIMIT_S):
        while name not in receiver.received:
            sender.link.send('b', make_release(name))
            await asyncio.sleep(0.05)


def make_release(request_id):
    return messages.Release('a', 1, 'calculator', request_id, 3)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(message=ALL_KINDS)
def test_every_message_survives_its_encoding_or_is_refused(message):
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
def test_noise_is_a_typed_failure(noise, kind):
    decoded = codec.decode(bytes((kind,)) + noise)
    assert decoded.is_error()
    assert isinstance(decoded.error, codec.CodecFailure)


def test_sizes_are_bounded_both_ways():
    body = bytes(codec.MAX_MESSAGE_BYTES)
    large = messages.TableCopy('a', 1, body)
    assert codec.encode(large).error.fault is codec.Fault.TOO_LARGE
    assert codec.decode(b'\x09' + body).error.fault is codec.Fault.TOO_LARGE
    assert codec.decode(b'').error.fault is codec.Fault.EMPTY


@pytest.mark.parametrize('text', ['', 'short', ' ' * 40, '~' * 40, 'é' * 40])
def test_a_secret_that_is_no_key_is_refused_and_not_repeated(text):
    failure = keys.parse_secret(text).error
    assert isinstance(failure, keys.KeyFailure)
    assert not text or text not in failure.detail


def test_a_secret_gives_its_pair_and_stays_out_of_the_repr():
    parsed = keys.parse_secret(PAIR.secret.decode()).ok
    assert parsed == PAIR
    assert PAIR.secret.decode() not in repr(parsed)


async def test_messages_arrive_in_order_and_local_ones_too():
    async with open_ends(End('a'), End('b')) as (one, two):
        one.link.connect('b', two.link.address)
        names = [str(number) for number in range(300)]
        for name in names:
            one.link.send('b', make_release(name))
            if int(name) % 50 == 0:
                await wait_until(lambda: two.received[-1:] == [name])
        one.link.send('a', make_release('self'))
        assert not one.link.send('c', make_release('nobody'))
        await wait_until(lambda: two.received == names)
        await wait_until(lambda: one.received == ['self'])
        assert one.counts[('peer_messages_dropped', 'no_link')] == 1
        totals = one.link.list_traffic()[0]
        assert totals._replace(direction='received') in (
            two.link.list_traffic()
        )


async def test_a_failing_handler_and_malformed_bytes_do_not_stop_a_link():
    async with open_ends(End('a'), End('b')) as (one, two):
        one.link.connect('b', two.link.address)
        one.link.send('b', make_release('explode'))
        with zmq.Context() as context, context.socket(zmq.PUSH) as push:
            sockets.configure_client(push, PAIR, PAIR.public)
            push.setsockopt(zmq.IMMEDIATE, 0)
            push.connect(f'tcp://{two.link.address}')
            push.send(b'\x63noise')
            malformed = ('peer_messages_malformed', codec.Fault.UNKNOWN_KIND)
            await wait_until(lambda: two.counts[malformed] == 1)
        await send_until_heard(one, two, 'after')
        assert two.counts[('peer_handlers_failed', None)] == 1


async def test_strangers_are_counted_and_not_heard():
    stranger = keys.generate_pair()
    async with open_ends(End('a'), End('b')) as (one, two):
        with zmq.Context() as context, context.socket(zmq.PUSH) as push:
            sockets.configure_client(push, stranger, PAIR.public)
            push.setsockopt(zmq.IMMEDIATE, 0)
            push.connect(f'tcp://{two.link.address}')
            push.send(codec.encode(make_release('forged')).ok)
            unknown = ('peer_handshakes_failed', 'unknown_key')
            await wait_until(lambda: two.counts[unknown] >= 1)
        host, port = two.link.address.split(':')
        for noise in (b'GET / HTTP/1.1\r\n\r\n', b'\xff' + os.urandom(200)):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(noise)
            closed = two.counts[('peer_connections', 'closed')]
            await wait_until(
                lambda: two.counts[('peer_connections', 'closed')] > closed
            )
            writer.close()
        one.link.connect('b', two.link.address)
        await send_until_heard(one, two, 'friend')
        assert set(two.received) == {'friend'}
        assert two.counts[('peer_connections', 'authenticated')] == 1


async def test_an_accepted_pair_is_heard_both_ways_during_a_rotation():
    newer = keys.generate_pair()
    one = End('a', pair=newer, accepted_keys=(PAIR.public,))
    two = End('b', accepted_keys=(newer.public,))
    async with open_ends(one, two):
        one.link.connect('b', two.link.address)
        await send_until_heard(one, two, 'rotated')
        assert one.counts[('peer_sockets_renewed', None)] >= 1


@pytest.mark.parametrize('fault', ['silence', 'cut'])
async def test_a_broken_connection_is_replaced(fault):
    async with open_ends(End('a'), End('b')) as (one, two):
        between = relay.Relay(target=two.link.address)
        one.link.connect('b', await between.start())
        await send_until_heard(one, two, 'before')
        getattr(between, fault)()
        await send_until_heard(one, two, 'after')
        assert between.accepted >= 2
        await between.close()


async def test_a_refused_peer_is_reached_again_once_it_is_let_in():
    async with open_ends(End('a'), End('b')) as (one, two):
        between = relay.Relay(target=two.link.address)
        between.block()
        one.link.connect('b', await between.start())
        one.link.send('b', make_release('lost'))
        lost = ('peer_messages_dropped', 'no_connection')
        await wait_until(lambda: one.counts[lost] == 1)
        between.unblock()
        await send_until_heard(one, two, 'after')
        assert 'lost' not in two.received
        await between.close()


async def test_a_peer_that_restarts_at_its_address_or_moves_is_reached():
    async with open_ends(End('a')) as (one,):
        first = End('b')
        address = first.link.address
        one.link.update({'b': address})
        await send_until_heard(one, first, 'first')
        await first.link.close()
        async with open_ends(End('b', listen=address), End('b')) as ends:
            await send_until_heard(one, ends[0], 'restarted')
            one.link.update({'b': ends[1].link.address})
            await send_until_heard(one, ends[1], 'moved')
            one.link.update({})
            assert one.link.list_peers() == ()
