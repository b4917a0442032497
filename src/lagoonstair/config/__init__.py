"""The configuration that all instances share, kept in a replicated log.

It consists of routes, templates, workspaces, keys and members.
"""

from lagoonstair.config._api_types import ApplyBody
from lagoonstair.config._authorize import Grant, authorize, is_grant_valid
from lagoonstair.config._changes import (
    Batch,
    Change,
    IssueKey,
    MemberJoined,
    MemberLeft,
    PutRoute,
    PutTemplate,
    PutWorkspace,
    RemoveRoute,
    RemoveTemplate,
    RemoveWorkspace,
    WithdrawKey,
)
from lagoonstair.config._core import ConfigUpdate
from lagoonstair.config._faults import Fault, InvalidInputError
from lagoonstair.config._model import (
    KeyRecord,
    KeyRole,
    Member,
    MemberId,
    Objectives,
    Param,
    Route,
    RouteKind,
    Template,
    Workspace,
)
from lagoonstair.config._operator_api import OperatorApi
from lagoonstair.config._policy import Limits, Policy
from lagoonstair.config._state import Configuration
from lagoonstair.config._submit import ChangeResult
from lagoonstair.config._sync import ConfigStatus, ConfigSync
from lagoonstair.config._timing import SyncTiming

__all__ = [
    "ApplyBody",
    "Batch",
    "Change",
    "ChangeResult",
    "ConfigStatus",
    "ConfigSync",
    "ConfigUpdate",
    "Configuration",
    "Fault",
    "Grant",
    "InvalidInputError",
    "IssueKey",
    "KeyRecord",
    "KeyRole",
    "Limits",
    "Member",
    "MemberId",
    "MemberJoined",
    "MemberLeft",
    "Objectives",
    "OperatorApi",
    "Param",
    "Policy",
    "PutRoute",
    "PutTemplate",
    "PutWorkspace",
    "RemoveRoute",
    "RemoveTemplate",
    "RemoveWorkspace",
    "Route",
    "RouteKind",
    "SyncTiming",
    "Template",
    "WithdrawKey",
    "Workspace",
    "authorize",
    "is_grant_valid",
]
