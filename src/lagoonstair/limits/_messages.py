"""Messages between borrowers and lenders of tokens."""

import msgspec


class LoanReport(msgspec.Struct, frozen=True, array_like=True):
    """The borrower's report on one loan.

    The values are cumulative, so repeated reports are idempotent.

    Attributes:
        workspace: The workspace.
        loan_id: Sequence number of the ask for which the loan was granted.
        spent: Micro-tokens spent so far.
        closed: Whether the borrower will spend no more of the loan.
    """

    workspace: str
    loan_id: int
    spent: int
    closed: bool


class TokenDemand(msgspec.Struct, frozen=True, array_like=True):
    """The micro-tokens of one workspace that a borrower asks for."""

    workspace: str
    amount: int


class TokenAsk(msgspec.Struct, frozen=True, kw_only=True):
    """A borrower's request to one lender, covering all workspaces.

    Attributes:
        incarnation: Distinguishes two runs of the borrower.
        seq: Increases with every ask to this lender. An ask is sent only
            after the previous one was answered or abandoned.
        reports: Every loan from this lender that the borrower holds. A loan
            for an earlier ask that is missing here was never received.
        wants: The tokens asked for, by workspace.
    """

    incarnation: str
    seq: int
    reports: tuple[LoanReport, ...]
    wants: tuple[TokenDemand, ...]


class TokenLoan(msgspec.Struct, frozen=True, array_like=True):
    """The part of a grant for one workspace, in micro-tokens.

    Attributes:
        workspace: The workspace.
        amount: The amount lent.
        remaining: The amount still available to the lender.
    """

    workspace: str
    amount: int
    remaining: int


class TokenGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A lender's answer to an ask.

    Attributes:
        seq: The sequence number of the ask.
        lent: One entry for each workspace asked for.
    """

    seq: int
    lent: tuple[TokenLoan, ...] = ()
