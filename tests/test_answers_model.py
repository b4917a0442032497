"""Whether callers get their own answers, whenever answers come twice."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from answers_model import LATE_SECONDS, Copy, Step, Turn, play
from soak import examples

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=examples(300),
    suppress_health_check=list(HealthCheck),
)

PAUSES = st.sampled_from([0.001, 0.001, 0.05])

READS = [
    ("READ a",),
    ("SET v 1", "READ b"),
    ("PREPARE r READ x y", "EXECUTE r c"),
]

WRITES = [
    ("WRITE a #",),
    ("SET v 2", "WRITE b #"),
    ("PREPARE w WRITE z", "EXECUTE w c #"),
    ("PREPARE w WRITE other", "EXECUTE w d #"),
]

STATEMENTS = st.sampled_from([*READS, *WRITES, *WRITES])


@st.composite
def transactions(draw):
    begin = draw(st.sampled_from(["BEGIN", "BEGIN", "BEGIN READ"]))
    statements = st.sampled_from(READS) if begin == "BEGIN READ" else STATEMENTS
    body = draw(st.lists(statements, max_size=3))
    end = draw(st.sampled_from(["COMMIT", "COMMIT", "ROLLBACK"]))
    return (begin, *(text for texts in body for text in texts), end)


OPERATIONS = st.one_of(
    STATEMENTS, transactions(), st.sampled_from([("STATUS",), ("FOLLOW",)])
)


@st.composite
def schedules(draw):
    """Draws the operations of two callers, merged in any order."""
    queues = [
        [
            text
            for texts in draw(
                st.lists(OPERATIONS, min_size=most // 2, max_size=most)
            )
            for text in texts
        ]
        for most in (8, 4)
    ]
    steps = []
    while queues[0] or queues[1]:
        number = int(not queues[0])
        if queues[0] and queues[1]:
            number = draw(st.integers(0, 1))
        text = queues[number].pop(0)
        steps.append(Step(number, text, draw(PAUSES)))
    return steps


COPIES = st.builds(
    Copy,
    st.integers(0, 4),
    st.sampled_from(["joined", "idle", "awaited"]),
    st.one_of(*[st.none()] * 7, st.integers(0, 60)),
)

REFUSALS = st.sampled_from(["BUSY", "READONLY", "LAGGING"])

TURNS = st.one_of(
    st.just(Turn()),
    COPIES.map(lambda copy: Turn(copy=copy)),
    st.tuples(REFUSALS, st.none() | COPIES).map(
        lambda drawn: Turn(refusal=drawn[0], copy=drawn[1])
    ),
    st.builds(
        Turn,
        refusal=st.just("") | REFUSALS,
        seconds=st.sampled_from([0.0, 0.02, LATE_SECONDS]),
        runs_late=st.booleans(),
        grows=st.booleans(),
        cut=st.none() | st.integers(0, 60),
        copy=st.none() | COPIES,
    ),
)

PLANS = st.lists(TURNS, min_size=8, max_size=30)


# Guards against a late copy of an answer that is taken for the next answer.
@SETTINGS
@given(schedules(), PLANS)
def test_no_copy_of_an_answer_is_taken_for_another(steps, turns):
    assert play(steps, turns).violations == []


# Guards against checks that pass because nothing is answered.
@SETTINGS
@given(schedules())
def test_each_statement_of_a_calm_endpoint_is_answered(steps):
    model = play(steps, [])
    assert model.violations == []
    assert model.succeeded == len(model.requests)


READ_ONLY = ("BEGIN READ", "READ a", "COMMIT")
WRITING = ("BEGIN", "WRITE a #", "COMMIT")
SETTING = ("BEGIN", "SET v 1", "WRITE a #", "COMMIT")


# Guards against a write that runs outside its transaction, because a copy of
# an earlier answer hid that BEGIN was refused, and a refusal that hides it.
@pytest.mark.parametrize("refusal", ["BUSY", "READONLY", "LAGGING"])
@pytest.mark.parametrize(
    ("before", "copied"), [(READ_ONLY, 1), (WRITING, 1), (SETTING, 2)]
)
def test_no_copy_hides_that_a_second_begin_was_refused(before, copied, refusal):
    # The greeting comes first, and the copy right before the last answer.
    turns = [Turn()] * (1 + len(before))
    turns[copied] = Turn(copy=Copy(len(before) - copied, "awaited"))
    steps = [Step(0, text) for text in (*before, *WRITING)]
    model = play(steps, [*turns, Turn(refusal=refusal)])
    assert model.violations == []


# Guards against a write that is refused or repeated, although it was kept,
# because a copy of an earlier refusal was taken for its answer.
@pytest.mark.parametrize(
    "after",
    [("READ a", "WRITE a #"), WRITING],
    ids=["alone", "in_transaction"],
)
def test_no_copy_of_a_refusal_is_taken_for_another(after):
    texts = ("READ a", *after)
    # Right before the answer to the write, counted from that to the refusal.
    later = texts.index("WRITE a #")
    turns = [Turn(), Turn(refusal="BUSY", copy=Copy(later, "awaited"))]
    model = play([Step(0, text) for text in texts], turns)
    assert model.violations == []
    assert model.succeeded == len(model.requests)


# Guards against a write that is kept twice, because a copy of the refusal of a
# transaction's statement was taken for its answer although its own one came.
def test_no_copy_of_a_refusal_in_a_transaction_repeats_a_write():
    # The log grows, so that the connection can begin a transaction again.
    turns = [Turn(grows=True)] * 12
    # The copy comes right before the answer to the last write.
    turns[3] = Turn(refusal="BUSY", copy=Copy(4, "awaited"), grows=True)
    texts = ("WRITE a #", *WRITING, "WRITE b #")
    model = play([Step(0, text, 0.02) for text in texts], turns)
    assert model.violations == []


SCRIPTS = {
    "statements": ("WRITE a #", "SET v 1", "READ a", "SET v 2", "WRITE b #"),
    "shapes": (
        *("PREPARE w WRITE y", "EXECUTE w c #"),
        *("PREPARE w WRITE z", "EXECUTE w c #", "READ a"),
    ),
    "rolled_back": (*SETTING[:-1], "ROLLBACK", "SET v 2", "WRITE b #"),
    "two_transactions": (*WRITING, *WRITING),
    "read_only_first": (*READ_ONLY, *WRITING),
    "between_writes": ("WRITE a #", *WRITING, "WRITE b #"),
}

MOST_ANSWERS = 12


def late_copies(refuses_copied):
    """Yields each plan with one late copy and one refusal.

    Args:
        refuses_copied: Whether the answer that is repeated is a refusal, and
            others commit writes; if not, the statement is refused whose answer
            the copy precedes, and the log stays as it is.
    """
    for copied in range(1, 8):
        for later in range(7):
            turns = [Turn(grows=refuses_copied)] * MOST_ANSWERS
            turns[copied] = turns[copied]._replace(copy=Copy(later, "awaited"))
            refused = copied if refuses_copied else copied + later + 1
            if refused < MOST_ANSWERS:
                turns[refused] = turns[refused]._replace(refusal="BUSY")
                yield turns


# Guards against statements that run twice, outside their transaction or on
# another connection, because a copy was taken for an answer or hid a refusal.
@pytest.mark.parametrize("refuses_copied", [False, True])
@pytest.mark.parametrize("script", SCRIPTS)
def test_no_single_late_copy_misleads(script, refuses_copied):
    steps = [Step(0, text, 0.02) for text in SCRIPTS[script]]
    found = {
        violation
        for turns in late_copies(refuses_copied)
        for violation in play(steps, turns).violations
    }
    assert found == set()


# Guards against a copy of a status that is older than the survey, which relies
# on statuses from after the release of the previous primary.
@pytest.mark.parametrize("moment", ["joined", "idle", "awaited"])
def test_a_followed_status_is_not_older_than_its_survey(moment):
    turns = [Turn(), Turn(copy=Copy(0, moment))]
    model = play([Step(0, "WRITE a #"), Step(0, "FOLLOW")], [Turn(), *turns])
    assert model.violations == []
