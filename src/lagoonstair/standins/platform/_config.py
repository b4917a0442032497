"""The stand-in's configuration."""

from pathlib import Path

import msgspec

from lagoonstair.standins.platform._listing import ListingChange


class PlatformConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What a stand-in starts with.

    Attributes:
        host: The IP number to listen on.
        port: The TCP port; 0 takes a free one.
        listing: The first list of instances and groups.
        listing_lag: Seconds after which a change of the list is shown.
    """

    host: str = "127.0.0.1"
    port: int = 0
    listing: ListingChange = ListingChange()
    listing_lag: float = 0.0

    @classmethod
    def from_text(cls, text: str) -> "PlatformConfig":
        """Reads a JSON document, or a file that holds one.

        Raises:
            msgspec.MsgspecError: The document is malformed.
            OSError: The file cannot be read.
        """
        if not text.lstrip().startswith("{"):
            text = Path(text).read_text(encoding="utf-8")
        return msgspec.json.decode(text, type=cls)
