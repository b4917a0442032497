"""Keys of callers and operators: generation, parsing and verification."""

from lagoonstair.keys._keys import (
    IssuedKey,
    Key,
    digest_matches,
    hash_secret,
    issue,
    parse,
)

__all__ = [
    "IssuedKey",
    "Key",
    "digest_matches",
    "hash_secret",
    "issue",
    "parse",
]
