"""Client of an endpoint: the endpoint port over HTTP/1.1 with JSON."""

from lagoonstair.endpoints._connection import (
    HttpEndpointConnection,
    random_call_id,
)
from lagoonstair.endpoints._endpoint import HttpEndpoint

__all__ = ["HttpEndpoint", "HttpEndpointConnection", "random_call_id"]
