"""A server whose answer, without a length, never ends; prints its port."""

import asyncio

from tests import platformstore


async def serve(request, reply):
    reply.start(200, (), length=None)
    reply.write(b'part')
    await asyncio.Event().wait()


async def main():
    listener = platformstore.build_listener(serve)
    await listener.listen('127.0.0.1', 0)
    print(listener.port, flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
