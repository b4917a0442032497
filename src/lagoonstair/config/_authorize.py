"""Authorizes requests by workspace, route and key."""

from typing import NamedTuple

from lagoonstair.config._model import KeyRole
from lagoonstair.config._policy import Policy
from lagoonstair.config._state import Configuration
from lagoonstair.exceptions import ErrorKind, LagoonstairError


class Grant(NamedTuple):
    """The permission to run one route.

    Attributes:
        policy: The policy that applies to the request.
        key_id: The id of the key that authorized it; ``None`` on an open
            route. At dispatch, ``Configuration.key_is_live`` checks it again.
    """

    policy: Policy
    key_id: str | None


def authorize(
    cfg: Configuration, workspace: str, route: str, key: str | None
) -> Grant:
    """Authorizes a request to run a route for a workspace.

    An open route ignores the key. On any other route the error does not
    reveal whether the workspace or the route exists, until a key of the
    workspace has been verified.

    Raises:
        LagoonstairError: ``UNAUTHENTICATED`` without a live key,
            ``BAD_REQUEST`` for a malformed key, ``FORBIDDEN`` for another
            workspace's or an operator's key, ``NOT_FOUND`` for a route that
            the workspace lacks.
    """
    policy = cfg.resolved.policies.get((workspace, route))
    if policy is not None and policy.open:
        return Grant(policy, None)
    if key is None:
        raise LagoonstairError(ErrorKind.UNAUTHENTICATED, "a key is needed")
    record = cfg.authenticate(key)
    if record.role is not KeyRole.CALLER or record.workspace != workspace:
        raise LagoonstairError(
            ErrorKind.FORBIDDEN, "the key is not one of this workspace"
        )
    return Grant(cfg.policy(workspace, route), record.id)


def is_grant_valid(cfg: Configuration, grant: Grant) -> bool:
    """Returns whether a grant of an older version is still valid."""
    policy = grant.policy
    current = cfg.resolved.policies.get((policy.workspace, policy.route))
    if current is None:
        return False
    if current.open:
        return True
    if grant.key_id is None:
        return False
    record = cfg.keys.get(grant.key_id)
    return record is not None and record.workspace == policy.workspace
