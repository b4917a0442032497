"""Decides for which workspace a request may run."""

from typing import NamedTuple

from lagoonstair.config._model import KeyRole
from lagoonstair.config._policy import Policy
from lagoonstair.config._state import Configuration
from lagoonstair.exceptions import ErrorKind, LagoonstairError


class Grant(NamedTuple):
    """The right to run one route.

    Attributes:
        policy: What holds for the request.
        key_id: The key that gave the right; ``None`` on an open route. It is
            checked again with ``Configuration.key_is_live`` at dispatch.
    """

    policy: Policy
    key_id: str | None


def authorize(
    cfg: Configuration, workspace: str, route: str, key: str | None
) -> Grant:
    """Decides whether a request may run for a workspace.

    An open route ignores the key. Any other route answers alike whether the
    workspace or the route exists, until the key has proved the workspace.

    Raises:
        LagoonstairError: ``UNAUTHENTICATED`` without a live key,
            ``BAD_REQUEST`` for a key of the wrong form, ``FORBIDDEN`` for
            another workspace's key, ``NOT_FOUND`` for a route that the
            workspace lacks.
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
    """Tells whether a grant of an older version still holds."""
    policy = grant.policy
    now = cfg.resolved.policies.get((policy.workspace, policy.route))
    if now is None:
        return False
    if now.open:
        return True
    if grant.key_id is None:
        return False
    record = cfg.keys.get(grant.key_id)
    return record is not None and record.workspace == policy.workspace
