"""The filter that finds a request's row in the table in force."""

from collections import abc

from lavenderledge import outcomes
from lavenderledge.filters import exchange
from lavenderledge.policy import table

FindRow = abc.Callable[[exchange.Identity, str], table.Row | None]


def make_classify(
    *,
    is_table_in_force: abc.Callable[[], bool],
    has_pool: abc.Callable[[str], bool],
    find_row: FindRow,
) -> exchange.Filter:
    """Return a filter that sets the row and the deadline."""

    async def classify(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        work = current.work
        assert work is not None
        if not is_table_in_force():
            return current.refuse(
                outcomes.Reason.TABLE_UNAVAILABLE,
                'no table is in force on this instance yet',
                retry_after_s=1,
            )
        if not has_pool(work.pool):
            return current.refuse(
                outcomes.Reason.NO_SUCH_POOL,
                f'no row of the table names the model or service {work.pool}',
            )
        row = find_row(current.identity, work.pool)
        if row is None:
            return current.refuse(
                outcomes.Reason.NO_SUCH_ROW,
                'no row of the table matches this customer, pool and kind',
            )
        current.row = row
        timeout_s = row.timeout_s
        if current.identity.timeout_s is not None:
            timeout_s = min(timeout_s, current.identity.timeout_s)
        current.deadline_s = current.call.received_s + timeout_s
        return await proceed(current)

    return classify
