"""The allocator's state of one outstanding request."""

import enum
import typing

from lavenderledge.peers import messages


@enum.unique
class Stage(enum.Enum):
    """The stages of an outstanding request."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    RUNNING = 'running'


class Request:
    """A request that waits or holds a grant; times on the allocator's clock.

    ``spec`` is the latest from its instance and ``stamp_s`` the time of that
    message on the instance's clock. ``cost`` is the charge to its flow, in
    tokens.
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
        """Create a waiting request."""
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
        """Return the number of tokens that cancelling would waste."""
        if self.stage is Stage.GRANTED:
            return 0
        prefilled = self.spec.prompt_tokens - self.prefill_left
        return max(0, prefilled) + self.output_done


def build_spec(running: messages.RunningRequest) -> messages.RequestSpec:
    """Return the spec of a request that another allocator has granted."""
    return messages.RequestSpec(
        request_id=running.request_id,
        row=running.row,
        customer=running.customer,
        tier=running.tier,
        weight=1,
        prompt_tokens=running.prompt_tokens,
        output_tokens=running.output_tokens,
        prefix=(),
        remaining_s=0,
        waited_s=0,
        preemptible=running.preemptible,
        immediate=False,
    )


Requests: typing.TypeAlias = dict[str, Request]
