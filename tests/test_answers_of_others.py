"""Whether callers get their own answers and endpoints run what was sent.

The endpoints and the callers share no code with the proxy.
"""

import random

import pytest
import trio

from lagoonstair.standins.statements import Stutter
from proxy_fleet import config, proxy_fleet
from strict_callers import (
    StrictCaller,
    find_differences,
    odd_text,
    plain_text,
)

CALLERS = 12
INSTANCES = 3

RELAYED_INSTANCES = 4
FEW_CONNECTIONS = 6
"""Connections of a database; too few for each of four instances to have its
own."""

SECONDS = 4.0
"""How long the callers run statements, in seconds."""


async def run_callers(
    tmp_path, *, text, stutter, seconds=SECONDS, relayed=False
):
    """Runs callers against processes.

    Args:
        tmp_path: The directory for settings and logs.
        text: Draws a field.
        stutter: How the databases answer.
        seconds: How long the callers run statements, in seconds.
        relayed: Whether connections are so few that sessions run at homes.

    Returns:
        The violations, the callers and the databases.
    """
    stop = trio.Event()
    cfg = config()
    if relayed:
        cfg["services"][0]["max_conns"] = FEW_CONNECTIONS
    instances = RELAYED_INSTANCES if relayed else INSTANCES
    async with proxy_fleet(tmp_path, instances, cfg=cfg) as fleet:
        databases = [*fleet.group.databases.values()]
        for number, database in enumerate(databases):
            rng = random.Random(number)
            database.stutter = stutter._replace(rng=rng)
        callers = [
            StrictCaller(
                number,
                random.Random(number),
                lambda: sorted(fleet.ports.values()),
                text,
            )
            for number in range(CALLERS)
        ]
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.run, stop)
            await trio.sleep(seconds)
            stop.set()
        return find_differences(callers, databases), callers, databases


def _odd_rows():
    rng = random.Random(7)
    return lambda: [
        odd_text(rng, blanks=True) for _ in range(rng.randint(0, 3))
    ]


def _succeeded(callers):
    return sum(
        s.answer is not None and not s.answer.code
        for caller in callers
        for s in caller.sent
    )


# Guards against answers and statements that are cut or joined at an LF.
@pytest.mark.parametrize("relayed", [False, True])
async def test_fields_of_any_bytes_stay_whole(tmp_path, relayed):
    stutter = Stutter(odd_rows=_odd_rows())
    found, callers, _ = await run_callers(
        tmp_path, text=odd_text, stutter=stutter, relayed=relayed
    )
    assert found[:5] == []
    assert sum(caller.unanswered for caller in callers) == 0
    assert _succeeded(callers) > 100


# Guards against a late copy of an answer that is taken for the next answer.
@pytest.mark.parametrize("refused_share", [0.0, 0.3])
async def test_a_second_answer_reaches_nobody(tmp_path, refused_share):
    stutter = Stutter(repeat_share=0.1, refused_share=refused_share)
    found, callers, databases = await run_callers(
        tmp_path, text=plain_text, stutter=stutter
    )
    assert found[:5] == []
    assert sum(database.copies_sent for database in databases) > 20
    assert _succeeded(callers) > 100


async def test_callers_and_endpoints_agree_on_a_calm_day(tmp_path):
    found, callers, _ = await run_callers(
        tmp_path, text=plain_text, stutter=Stutter()
    )
    assert found[:5] == []
    assert sum(caller.unanswered for caller in callers) == 0
