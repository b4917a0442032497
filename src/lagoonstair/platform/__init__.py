"""The platform's table service, object store and listing over HTTP."""

from lagoonstair.platform._adapter import HttpPlatform
from lagoonstair.platform._messages import (
    INSTANCE_HEADER,
    ReadRequest,
    ReadResponse,
    ScanRequest,
    ScanResponse,
    TransactResponse,
)

__all__ = [
    "INSTANCE_HEADER",
    "HttpPlatform",
    "ReadRequest",
    "ReadResponse",
    "ScanRequest",
    "ScanResponse",
    "TransactResponse",
]
