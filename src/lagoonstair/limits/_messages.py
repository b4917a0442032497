"""Messages between borrowers and lenders of tokens."""

import msgspec


class LoanReport(msgspec.Struct, frozen=True, array_like=True):
    """What a borrower says of one loan; cumulative, so repeats are harmless.

    Attributes:
        workspace: The workspace.
        loan_id: The sequence number of the ask that the loan answered.
        spent: Micro-tokens spent so far.
        closed: Whether no more of it will be spent.
    """

    workspace: str
    loan_id: int
    spent: int
    closed: bool


class TokenDemand(msgspec.Struct, frozen=True, array_like=True):
    """How many micro-tokens of a workspace a borrower asks for."""

    workspace: str
    amount: int


class TokenAsk(msgspec.Struct, frozen=True, kw_only=True):
    """A borrower's ask to one lender, for all workspaces at once.

    Attributes:
        incarnation: Tells two runs of the borrower apart.
        seq: Grows with every ask to this lender. An ask is sent only after
            the one before it was answered or given up.
        reports: Every loan of this lender that the borrower holds. A loan of
            an earlier ask that is missing here was never received.
        wants: What is asked for.
    """

    incarnation: str
    seq: int
    reports: tuple[LoanReport, ...]
    wants: tuple[TokenDemand, ...]


class TokenLoan(msgspec.Struct, frozen=True, array_like=True):
    """The part of a grant for one workspace, in micro-tokens.

    Attributes:
        workspace: The workspace.
        amount: What is lent.
        remaining: What the lender still has.
    """

    workspace: str
    amount: int
    remaining: int


class TokenGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A lender's answer.

    Attributes:
        seq: The sequence number of the ask.
        lent: One entry for each workspace asked for.
    """

    seq: int
    lent: tuple[TokenLoan, ...] = ()
