import asyncio
import datetime

import expression

from lavenderledge import clock
from lavenderledge.daemon import callers, metrics
from lavenderledge.filters import exchange

TIMEOUT_S = 20
SCOPE = {
    'type': 'http',
    'method': 'POST',
    'path': '/',
    'raw_path': b'/',
    'query_string': b'',
    'headers': [],
}


async def answer_unstreamed(current):
    return expression.Ok(exchange.Answer(200, (), b'whole'))


async def answer_streamed(current):
    async def pump(sink):
        await asyncio.wait_for(sink(b'first'), 0.01)

    return expression.Ok(exchange.Answer(200, (), stream=pump))


async def test_a_request_ends_when_its_caller_receives_nothing():
    for handler in (answer_unstreamed, answer_streamed):
        interface = callers.CallerInterface(
            clock=clock.SystemClock(),
            metrics=metrics.Metrics(),
            max_body_bytes=10,
            max_in_flight=10,
            send_timeout=datetime.timedelta(seconds=0.01),
        )
        endpoint = interface.make_endpoint(handler, methods={'POST'})
        async with asyncio.timeout(TIMEOUT_S):
            await endpoint(SCOPE, make_receive(), send_without_end)
        assert interface.in_flight == 0


def make_receive():
    messages = [{'type': 'http.request', 'body': b''}]

    async def receive():
        if messages:
            return messages.pop()
        return await asyncio.get_running_loop().create_future()

    return receive


async def send_without_end(message):
    await asyncio.get_running_loop().create_future()
