"""What the present configuration permits to a caller's session."""

from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._targets import Caller
from lagoonstair.routing import Route
from lagoonstair.statements import ErrorCode, Failure


class Access:
    """Checks sessions against the newest configuration."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def authorize(self, connection: CallerConnection) -> Route | Failure:
        """Checks a session against the current configuration.

        Returns:
            The session's route, or the failure to answer with.
        """
        config = self._fleet.config
        if config is None:
            return Failure(ErrorCode.BUSY, "no configuration yet")
        route = config.routes.get(connection.database)
        if route is None:
            return Failure(ErrorCode.NO_DATABASE, "no route has this name")
        workspace = config.keys.get(connection.key)
        if workspace is None:
            if not route.allows_anonymous:
                return Failure(ErrorCode.NO_AUTH, "unknown key")
            workspace = config.public_workspace
        if connection.caller is None:
            connection.caller = Caller(
                workspace=workspace,
                session=connection.session,
                key=connection.key,
            )
        elif connection.caller.workspace != workspace:
            return Failure(
                ErrorCode.NO_AUTH, "the key has another workspace now"
            )
        return route

    def is_withdrawn(self, connection: CallerConnection) -> bool:
        """Returns whether a session's key was withdrawn.

        An open transaction keeps the route under which it began, so a removed
        or changed route does not count.
        """
        config = self._fleet.config
        if config is None or connection.caller is None:
            return False
        route = config.routes.get(connection.database)
        if connection.tx is not None:
            route = connection.tx.route
        return not config.permits_key(
            connection.key,
            connection.caller.workspace,
            allows_anonymous=route is None or route.allows_anonymous,
        )

    def allowed_domains(
        self, connection: CallerConnection
    ) -> frozenset[str] | None:
        """Returns the failure domains in which a session may run."""
        route = self.authorize(connection)
        if isinstance(route, Failure) or connection.caller is None:
            return None
        return self._fleet.region_filter.domains(
            route, connection.caller.workspace
        )
