"""The configuration of the platform stand-in."""

from pathlib import Path

import msgspec

from lagoonstair.standins.platform._listing import ListingChange


class PlatformConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The configuration of a platform stand-in.

    Attributes:
        host: The IP address to listen on.
        port: The TCP port to listen on; 0 takes a free one.
        listing: The initial listing of instances and groups.
        listing_lag: The delay before a change of the listing is visible, in
            seconds.
    """

    host: str = "127.0.0.1"
    port: int = 0
    listing: ListingChange = ListingChange()
    listing_lag: float = 0.0

    @classmethod
    def from_text(cls, text: str) -> "PlatformConfig":
        """Decodes a JSON document, or the file whose path is given.

        Raises:
            msgspec.MsgspecError: The document is malformed.
            OSError: The file cannot be read.
        """
        if not text.lstrip().startswith("{"):
            text = Path(text).read_text(encoding="utf-8")
        return msgspec.json.decode(text, type=cls)
