import pytest

from lavenderledge import clock as clocks
from lavenderledge.load import (
    capacity,
    checker,
    client,
    enginelogs,
    fleet,
    replay,
    summary,
    traces,
    workloads,
)
from lavenderledge.standins import batch, responses

USER = workloads.ABYSSINIA
PLAN = traces.Plan(1, 60, 10, base=0.5, peak=2, bursts=True, stragglers=True)


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


def make_arrival(number, tier=2, at_s=0.0):
    sizes = (0, 0, 96, 160, 3)
    return traces.Arrival(number, at_s, 'check', tier, 'hub', *sizes, 10.0)


def make_result(arrival, **fields):
    times = (arrival.at_s, None, arrival.at_s + 1)
    default = client.Result(arrival, *times, 0, False, '', '', '')
    return default._replace(**fields)


def make_record(number, replica, started_s, finished_s, cached=0, first_s=None):
    times = (started_s, started_s, first_s or started_s + 0.1, finished_s)
    tokens = (160, cached, 160 - cached, 3)
    labels = ({'request': str(number)}, f'calculator-{replica}')
    return fleet.EngineRecord(
        f'r{number}', 'completed', *times, *tokens, *labels
    )


def test_traces_are_reproducible_and_follow_their_plan():
    trace = traces.build_trace(USER, PLAN)
    assert trace == traces.build_trace(USER, PLAN)
    assert trace != traces.build_trace(USER, PLAN._replace(seed=2))
    rate = capacity.compute_capacity(USER).requests
    for level, windows in ((2, trace.bursts), (0.5, (traces.Window(10, 20),))):
        scope = summary.Scope('', windows)
        found = scope.select(make_result(each) for each in trace.arrivals)
        expected = rate * level * scope.length_s
        assert expected * 0.8 < len(found) < expected * 1.1
    assert all(len(episode.engines) == 2 for episode in trace.episodes)
    alone = traces.select_tier(trace, 1).arrivals
    assert alone == tuple(each for each in trace.arrivals if each.tier == 1)
    first, second = (
        traces.render_prompt(1, make_arrival(each)) for each in (1, 2)
    )
    assert len(first) == len(second) == 160 * 4
    assert first[: 96 * 4] == second[: 96 * 4]
    assert first[96 * 4 :] != second[96 * 4 :]


def test_checker_accepts_only_complete_responses_to_its_request():
    events = build_stream('resp_1', 3, '7')
    other = build_stream('resp_2', 3, '7')
    altered = events[1].replace(b'w1', b'w9')
    assert check_stream(events).is_complete
    assert not check_stream(events[:-1]).is_complete
    cases = (
        (check_stream(events[:2] + events[3:]), checker.Fault.GAP),
        (check_stream(events, request='8'), checker.Fault.OTHER_CALLER),
        (check_stream(events, output_tokens=4), checker.Fault.SHORT),
        (check_stream(events[:-1] + other[-1:]), checker.Fault.OTHER_ID),
        (check_stream([events[0], altered, *events[2:]]), checker.Fault.TEXT),
    )
    for checked, fault in cases:
        assert (checked.is_complete, checked.fault) == (False, fault)
    refusal = b'{"error":{"code":"preempted","outcome":"failed"}}'
    ended = check_stream([*events[:2], b'event: error\ndata: %b\n\n' % refusal])
    assert (ended.is_complete, ended.refusal.code) == (False, 'preempted')


@pytest.mark.parametrize(
    ('started_s', 'finished_s', 'tier', 'expected'),
    (
        (103, 110, 3, True),  # is running at the refusal
        (105.5, 105.8, 3, True),  # started after the arrival
        (103, 105.9, 3, False),  # started before the arrival, then ended
        (106.5, 107, 3, False),  # started after the refusal
        (103, 110, 1, False),  # is not of a lower tier
    ),
)
def test_sheds_report_whether_lower_tier_work_ran(
    started_s, finished_s, tier, expected
):
    shed = make_result(
        make_arrival(1, 1, 5.0), ended_s=6.0, reason='overloaded'
    )
    other = make_result(make_arrival(2, tier, 2.0), complete=True)
    malformed = make_result(make_arrival(3, 1, 5.0), reason='malformed')
    records = [make_record(2, 0, started_s, finished_s)]
    found = enginelogs.list_sheds([shed, other, malformed], records, 100.0)
    seen = [(each.number, each.lower_tier_ran) for each in found]
    assert seen == [(1, expected)]
    # The shed request itself is started after 0.2 s and then cancelled.
    records.append(make_record(1, 1, 105.2, 106))
    found = enginelogs.list_sheds([shed, other, malformed], records, 100.0)
    seen = (found[0].lower_tier_ran, found[0].lower_tier_started)
    assert seen == (expected and finished_s == 110, started_s == 105.5)


def test_waste_and_violations_are_counted_from_engine_logs():
    arrivals = tuple(map(make_arrival, range(5)))
    trace = traces.Trace(1, traces.Window(0, 10), arrivals, (), ())
    records = [
        make_record(0, 0, 1, 2),
        make_record(1, 1, 3, 4),
        make_record(2, 1, 5, 6, cached=96),
        make_record(3, 2, 7, 8),
        make_record(4, 3, 0.5, 9, first_s=8.5),
    ]
    waste = enginelogs.measure_waste(
        USER, trace, records, completed={0, 1, 2, 4}
    )
    assert waste == enginelogs.Waste(lost=160, recomputed=96, computed=704)
    results = [
        make_result(make_arrival(1), outcome='not_run'),
        make_result(make_arrival(2), fault='x'),
    ]
    violations = enginelogs.count_violations(results, [records[0], *records])
    assert violations == enginelogs.Violations(1, 1, 1)


async def test_a_trace_is_replayed_on_a_real_fleet():
    speed = batch.Speed(0.001, 8, 100_000, 64)
    user = USER._replace(engines=[workloads.Engine(speed)] * 2, instances=2)
    arrivals = tuple(
        make_arrival(number, 2, number / 10) for number in range(6)
    )
    episodes = (traces.Episode(traces.Window(0.2, 0.4), (1,), 2.0),)
    trace = traces.Trace(1, traces.Window(0, 1), arrivals, (), episodes)
    options = {'policy': 'lavenderledge', 'clock': clocks.SystemClock()}
    async with fleet.run_fleet(user, options['policy']) as running:
        run = await replay.replay_trace(running, trace, label='ours', **options)
    assert all(each.complete for each in run.results)
    measures = summary.measure_run(user, run)
    assert measures['tier 2 requests'] == len(run.records) == 6
    assert measures['run twice'] == measures['faulty answers'] == 0
