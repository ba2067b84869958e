"""One outstanding request as its pool's allocator sees it."""

import enum
import typing

from lavenderledge.peers import messages


@enum.unique
class Stage(enum.Enum):
    """How far a request has come."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    RUNNING = 'running'


class Request:
    """A request that waits or holds a grant; times by the allocator's clock.

    ``ask`` is what its instance last said, and ``stamp_s`` when, by that
    instance's clock; ``cost`` what its flow has been charged, in tokens.
    """

    __slots__ = (
        'arrived_s',
        'spec',
        'cost',
        'deadline_s',
        'granted_s',
        'output_done',
        'output_left',
        'preempted_s',
        'prefill_left',
        'replica',
        'sender',
        'sequence',
        'stage',
        'stamp_s',
    )

    def __init__(
        self,
        *,
        sender: str,
        spec: messages.RequestSpec,
        stamp_s: float,
        now_s: float,
    ) -> None:
        """Start as waiting."""
        self.sender = sender
        self.stamp_s = stamp_s
        self.spec = spec
        self.stage = Stage.WAITING
        self.arrived_s = now_s - spec.waited_s
        self.deadline_s = now_s + spec.remaining_s
        self.replica = ''
        self.sequence = 0
        self.granted_s = float(0)
        self.preempted_s: float | None = None
        self.cost = float(0)
        self.output_done = 0
        self.prefill_left = 0
        self.output_left = 0

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.spec.request_id

    @property
    def cancel_tier(self) -> int:
        """Return the tier if the request may be cancelled, else 0."""
        return self.spec.tier if self.spec.preemptible else 0

    @property
    def work_done(self) -> int:
        """Return the tokens that a cancel would throw away."""
        if self.stage is Stage.GRANTED:
            return 0
        prefilled = self.spec.prompt_tokens - self.prefill_left
        return max(0, prefilled) + self.output_done


def build_spec(held: messages.RunningRequest) -> messages.RequestSpec:
    """Return the ask of a request that another allocator has granted."""
    return messages.RequestSpec(
        request_id=held.request_id,
        row=held.row,
        customer=held.customer,
        tier=held.tier,
        weight=1,
        prompt_tokens=held.prompt_tokens,
        output_tokens=held.output_tokens,
        prefix=(),
        remaining_s=0,
        waited_s=0,
        preemptible=held.preemptible,
        immediate=False,
    )


Requests: typing.TypeAlias = dict[str, Request]
