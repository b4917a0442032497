"""Tests of ``find_differences`` on histories with one fault each."""

import pytest

from lagoonstair.standins.statements import Commit, Group
from lagoonstair.standins.statements._codec import Prepared
from lagoonstair.standins.statements._database import (
    SignedAnswer,
    StatementRun,
)
from strict_callers import Answer, Sent, find_differences

WRITE = Sent("c1-0", "WRITE x y", None, {}, 0, "I", None)
DONE = Answer((), "d1.1", "", "I")
REFUSED = Answer((), "", "BUSY", "I")
RUN = StatementRun("c1-0", "WRITE x y", None, {}, 1, "I")


class History:
    """What one caller sent, and what two databases did.

    Attributes:
        sent: The statements.
        errors: The invalid answers.
        databases: The databases; the first is the primary.
    """

    def __init__(self):
        self.sent = []
        self.errors = []
        group = Group("g", lambda database: None)
        self.databases = [
            group.add(name, slots=1, max_connections=9) for name in ("d1", "d2")
        ]
        self.primary = self.databases[0]

    def add(self, *, answer=None, run=RUN, kept=0, **changes):
        """Adds a statement with its run, signature and kept effects."""
        sent = WRITE._replace(answer=answer, **changes)
        self.sent.append(sent)
        if run is not None:
            self.primary.runs.append(run)
        self.primary.signed["d1.1"] = SignedAnswer("c1-0", ())
        write = (sent.request_id, "x", "y")
        for _ in range(kept):
            number = len(self.primary.log) + 1
            self.primary.log.append(Commit(1, number, (write,)))
        return self

    def rules(self):
        found = find_differences([self], self.databases)
        return {violation.split(" ")[0] for violation in found}


def test_a_history_without_fault_has_no_violation():
    assert History().add(answer=DONE, kept=1).rules() == set()
    assert History().add(answer=REFUSED).rules() == set()
    assert History().add(answer=None, kept=1).rules() == set()


@pytest.mark.parametrize(
    ("answer", "rule"),
    [
        (DONE._replace(signature="-"), {"MIXED"}),
        (DONE._replace(signature="d1.2"), {"MIXED"}),
        (DONE._replace(rows=("a",)), {"MIXED"}),
        (DONE._replace(signature="d1.1\rCOMPLETE d1.1"), {"MIXED"}),
        (REFUSED, {"REFUSED"}),
    ],
)
def test_an_answer_of_another_statement_is_a_violation(answer, rule):
    assert History().add(answer=answer, kept=1).rules() == rule


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({"request_id": "c9-9"}, "UNASKED"),
        ({"text": "WRITE x"}, "UNASKED"),
        ({"values": {"v": "1"}}, "PINNED"),
        ({"state": "T"}, "PINNED"),
    ],
)
def test_a_run_that_was_not_sent_so_is_a_violation(changes, rule):
    run = RUN._replace(**changes)
    assert History().add(answer=DONE, run=run).rules() == {rule}


def test_a_run_of_another_prepared_shape_is_a_violation():
    text = "EXECUTE s1 x"
    run = RUN._replace(text="EXECUTE p7 x", prepared=Prepared("READ", "a"))
    same, other = ("READ", "a"), ("READ", "b")
    assert not History().add(run=run, text=text, prepared=same).rules()
    changed = History().add(run=run, text=text, prepared=other)
    assert changed.rules() == {"PINNED"}


def test_a_transaction_on_two_connections_is_a_violation():
    history = History()
    for number in (1, 2):
        run = RUN._replace(connection=number, state="T")
        history.add(run=run, state="T")
    assert history.rules() == {"PINNED"}


def test_an_effect_that_came_twice_is_a_violation():
    assert History().add(answer=DONE, kept=2).rules() == {"TWICE"}


def test_a_message_that_is_not_valid_is_a_violation():
    history = History().add(answer=DONE)
    history.primary.rejected.append("not a QUERY: b'x'")
    assert history.rules() == {"UNASKED"}


def test_an_answer_that_is_not_valid_is_a_violation():
    history = History().add(answer=DONE)
    history.errors.append("caller 1: greeting b''")
    assert history.rules() == {"MIXED"}


# The effects of a former primary are rolled back, however many they are.
def test_the_log_of_the_latest_primary_decides():
    history = History().add(answer=REFUSED, kept=2)
    history.databases[1].become_primary(2)
    assert history.rules() == set()
