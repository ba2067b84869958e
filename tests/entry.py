"""The request path of one instance: its endpoint, filters and admission."""

import asyncio
import json

from lavenderledge import outcomes
from lavenderledge.controllers import admission
from lavenderledge.daemon import callers, metrics
from lavenderledge.filters import admit, chain, dispatch, identify, work
from lavenderledge.peers import messages
from lavenderledge.policy import table
from tests import faultyengines

POOL = 'calculator'
ROW = table.Row('plans', '*', POOL, '*', 1, repeatable=True)


class Entry:
    """The real code between callers and a faulty network to engines.

    Grants name the engines in turn and are ``grant_age_s`` old.
    """

    def __init__(self, *, loop, deadline_s, silence_timeout_s, note_preempted):
        self.loop = loop
        self.network = faultyengines.FaultyNetwork(
            check_dispatch=self._check_dispatch
        )
        self.tasks = []
        self.granted = {}
        self.grant_age_s = 0
        self.expired_dispatches = []
        self._expiries = {}
        self._deadline_s = deadline_s
        self._silence_timeout_s = silence_timeout_s
        self._note_preempted = note_preempted

    def serve(self, caller):
        self._start_task(self._serve_and_close(caller))

    async def _serve_and_close(self, caller):
        """Serve as the server does, which closes an unfinished answer."""
        await self._serve(caller.scope, caller.receive, caller.send)
        if not caller.ended and not caller.reading.is_set():
            caller.disconnect()

    def start(self):
        self.requests = admission.Admission(
            instance='a',
            incarnation=1,
            clock=self.loop,
            send=self._send,
            find_allocator=lambda pool: 'a',
            on_preempt=self._on_preempt,
        )
        context = dispatch.Context(
            client=self.network,
            clock=self.loop,
            requests=self.requests,
            silence_timeout_s=self._silence_timeout_s,
            lost_timeout_s=6,
            max_answer_bytes=1024,
            count_retry=lambda reason: None,
            run_detached=self._start_task,
        )
        self._serve = callers.CallerInterface(
            clock=self.loop,
            metrics=metrics.Metrics(),
            max_body_bytes=4096,
            max_in_flight=1000,
        ).make_endpoint(self._build_handler(context), methods=('POST',))
        self._tick_task = asyncio.ensure_future(self._tick())

    def _build_handler(self, context):
        return chain.build_chain(
            (
                identify.identify,
                work.make_read_work(work.read_response_work),
                self._set_row,
                dispatch.make_retry(context, attempts=3),
                admit.make_admit(
                    requests=self.requests,
                    clock=self.loop,
                    granted_exchanges=self.granted,
                ),
            ),
            dispatch.make_dispatch(context),
        )

    async def _tick(self):
        while True:
            self.requests.tick()
            await asyncio.sleep(0.5)

    def _send(self, to, message):
        if isinstance(message, messages.NewAsk):
            self.loop.call_soon(self._grant, message.spec.request_id)

    def _grant(self, request_id):
        number = len(self._expiries) + 1
        granted_at_s = self.loop.now_s - self.grant_age_s
        replica = f'engine-{number % 3}'
        self._expiries[number] = (
            granted_at_s + admission.GRANT_TTL.total_seconds()
        )
        self.requests.receive(
            messages.Grant(
                'a',
                POOL,
                number,
                request_id,
                replica,
                str(number),
                granted_at_s,
            )
        )

    def _check_dispatch(self, url, body):
        """Record a first byte that is sent on an expired grant."""
        number = int(url.removeprefix('http://').split('/')[0])
        if self.loop.now_s >= self._expiries[number]:
            self.expired_dispatches.append(url)

    def _on_preempt(self, request_id):
        current = self.granted[request_id]
        self._note_preempted(
            json.loads(current.call.body)['metadata']['number']
        )
        current.interrupt(outcomes.Reason.PREEMPTED)

    def _start_task(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def _set_row(self, current, proceed):
        current.row = ROW
        current.deadline_s = current.call.received_s + self._deadline_s
        return await proceed(current)
