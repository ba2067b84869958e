import pytest

from lavenderledge import clock as clocks
from lavenderledge.load import (
    capacity,
    checker,
    client,
    fleet,
    replay,
    summary,
    traces,
    truth,
    workloads,
)
from lavenderledge.standins import batch, responses

USER = workloads.ABYSSINIA
PLAN = traces.Plan(1, 60, 10, base=0.5, crest=2, bursts=True, stragglers=True)


def build_stream(response_id, tokens, request):
    text = responses.render_text(response_id, tokens)
    output = [{'content': [{'text': text}]}]
    metadata = {'request': request}
    response = {'id': response_id, 'metadata': metadata, 'output': output}
    return [
        responses.render_event('response.created', 0, response),
        *(responses.render_delta(response_id, n + 1) for n in range(tokens)),
        responses.render_event('response.completed', tokens + 1, response),
    ]


def check_stream(events, request='7', output_tokens=3):
    checked = checker.Checker(request=request, output_tokens=output_tokens)
    stream = b''.join(events)
    for start in range(0, len(stream), 50):
        checked.feed(stream[start : start + 50])
    return checked


def arrive(number, tier=2, at_s=0.0):
    sizes = (0, 0, 96, 160, 3)
    return traces.Arrival(number, at_s, 'check', tier, 'hub', *sizes, 10.0)


def answer(arrival, **fields):
    times = (arrival.at_s, None, arrival.at_s + 1)
    plain = client.Answer(arrival, *times, 0, False, '', '', '')
    return plain._replace(**fields)


def record(number, replica, started_s, finished_s, cached=0, first_s=None):
    times = (started_s, started_s, first_s or started_s + 0.1, finished_s)
    tokens = (160, cached, 160 - cached, 3)
    names = ({'request': str(number)}, f'calculator-{replica}')
    return fleet.Record(f'r{number}', 'completed', *times, *tokens, *names)


def test_traces_repeat_by_seed_and_keep_to_their_plan():
    trace = traces.build_trace(USER, PLAN)
    assert trace == traces.build_trace(USER, PLAN)
    assert trace != traces.build_trace(USER, PLAN._replace(seed=2))
    rate = capacity.find_capacity(USER).requests
    for level, windows in ((2, trace.bursts), (0.5, (traces.Window(10, 20),))):
        scope = summary.Scope('', windows)
        found = scope.select(answer(each) for each in trace.arrivals)
        expected = rate * level * scope.length_s
        assert expected * 0.8 < len(found) < expected * 1.1
    assert all(len(episode.engines) == 2 for episode in trace.episodes)
    alone = traces.keep_tier(trace, 1).arrivals
    assert alone == tuple(each for each in trace.arrivals if each.tier == 1)
    first, second = (traces.render_prompt(1, arrive(each)) for each in (1, 2))
    assert len(first) == len(second) == 160 * 4
    assert first[: 96 * 4] == second[: 96 * 4]
    assert first[96 * 4 :] != second[96 * 4 :]


def test_the_checker_takes_only_whole_answers_of_its_own_request():
    events = build_stream('resp_1', 3, '7')
    other = build_stream('resp_2', 3, '7')
    wrong = events[1].replace(b'w1', b'w9')
    assert check_stream(events).is_whole
    assert not check_stream(events[:-1]).is_whole
    cases = (
        (check_stream(events[:2] + events[3:]), checker.Fault.GAP),
        (check_stream(events, request='8'), checker.Fault.OTHER_CALLER),
        (check_stream(events, output_tokens=4), checker.Fault.SHORT),
        (check_stream(events[:-1] + other[-1:]), checker.Fault.OTHER_ID),
        (check_stream([events[0], wrong, *events[2:]]), checker.Fault.TEXT),
    )
    for checked, fault in cases:
        assert (checked.is_whole, checked.fault) == (False, fault)
    refusal = b'{"error":{"code":"preempted","outcome":"failed"}}'
    ended = check_stream([*events[:2], b'event: error\ndata: %b\n\n' % refusal])
    assert (ended.is_whole, ended.refused.code) == (False, 'preempted')


@pytest.mark.parametrize(
    ('started_s', 'finished_s', 'tier', 'over'),
    (
        (103, 110, 3, True),  # runs at the refusal
        (105.5, 105.8, 3, True),  # started after the arrival
        (103, 105.9, 3, False),  # was over, and began before the arrival
        (106.5, 107, 3, False),  # began after the refusal
        (103, 110, 1, False),  # is of no lower tier
    ),
)
def test_sheds_are_held_against_lower_work(started_s, finished_s, tier, over):
    shed = answer(arrive(1, 1, 5.0), ended_s=6.0, reason='overloaded')
    other = answer(arrive(2, tier, 2.0), whole=True)
    malformed = answer(arrive(3, 1, 5.0), reason='malformed')
    ran = [record(2, 0, started_s, finished_s)]
    found = truth.list_sheds([shed, other, malformed], ran, 100.0)
    judged = [(each.number, each.over_lower) for each in found]
    assert judged == [(1, over)]
    ran.append(record(1, 1, 105.2, 106))  # a cancel, after 0.2 s of waiting
    found = truth.list_sheds([shed, other, malformed], ran, 100.0)
    seen = (found[0].over_lower, found[0].lower_since)
    assert seen == (over and finished_s == 110, started_s == 105.5)


def test_waste_and_broken_promises_are_counted_from_the_logs():
    arrivals = tuple(map(arrive, range(5)))
    trace = traces.Trace(1, traces.Window(0, 10), arrivals, (), ())
    records = [
        record(0, 0, 1, 2),
        record(1, 1, 3, 4),
        record(2, 1, 5, 6, cached=96),
        record(3, 2, 7, 8),
        record(4, 3, 0.5, 9, first_s=8.5),
    ]
    waste = truth.measure_waste(USER, trace, records, whole={0, 1, 2, 4})
    assert waste == truth.Waste(lost=160, recomputed=96, computed=704)
    told = [answer(arrive(1), outcome='not_run'), answer(arrive(2), fault='x')]
    broken = truth.count_broken(told, [records[0], *records])
    assert broken == truth.Broken(1, 1, 1)


async def test_a_trace_is_replayed_on_a_real_fleet():
    speed = batch.Speed(0.001, 8, 100_000, 64)
    user = USER._replace(engines=[workloads.Engine(speed)] * 2, instances=2)
    arrivals = tuple(arrive(number, 2, number / 10) for number in range(6))
    episodes = (traces.Episode(traces.Window(0.2, 0.4), (1,), 2.0),)
    trace = traces.Trace(1, traces.Window(0, 1), arrivals, (), episodes)
    how = {'policy': 'lavenderledge', 'clock': clocks.SystemClock()}
    async with fleet.run_fleet(user, how['policy']) as running:
        run = await replay.replay_trace(running, trace, label='ours', **how)
    assert all(each.whole for each in run.answers)
    measures = summary.measure_run(user, run)
    assert measures['tier 2 requests'] == len(run.records) == 6
    assert measures['run twice'] == measures['faulty answers'] == 0
