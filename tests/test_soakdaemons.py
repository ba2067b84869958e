"""The soak leaves no process behind."""

import asyncio
import os

import pytest

from tests.soak import daemons


@pytest.mark.parametrize('delay_s', [0, 0.001, 0.01, 0.1])
async def test_a_start_that_is_cancelled_leaves_no_process(tmp_path, delay_s):
    daemon = daemons.Daemon('entry-0', str(tmp_path), store='127.0.0.1:9')
    started = []
    create = asyncio.create_subprocess_exec

    async def create_slowly(*args, **options):
        process = await create(*args, **options)
        started.append(process)
        await asyncio.sleep(0.05)
        return process

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio, 'create_subprocess_exec', create_slowly)
        starting = asyncio.create_task(daemon.start())
        await asyncio.sleep(delay_s)
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        await daemon.kill()
    for process in started:
        assert process.returncode is not None
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)


@pytest.mark.parametrize('delay_s', [0, 0.5])
async def test_two_restarts_of_a_daemon_start_one_process(tmp_path, delay_s):
    """It was signalled twice before it ended."""
    daemon = daemons.Daemon('entry-0', str(tmp_path), store='127.0.0.1:9')
    started = []
    create = asyncio.create_subprocess_exec

    async def create_and_note(*args, **options):
        started.append(await create(*args, **options))
        return started[-1]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio, 'create_subprocess_exec', create_and_note)
        first = asyncio.create_task(daemon.start())
        await asyncio.sleep(delay_s)
        await daemon.start()
        await first
        await daemon.kill()
    for process in started[:-1]:
        process.kill()
    assert len(started) == 1
