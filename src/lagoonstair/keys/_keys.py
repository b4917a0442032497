"""Format of a key and hash of its secret.

A key is ``ls_<id>_<secret>``. Only the SHA-256 of the secret is stored. The
secret has 256 random bits, so a fast hash is sufficient.
"""

import hashlib
import hmac
import re
from collections.abc import Callable
from typing import NamedTuple

from lagoonstair.exceptions import ErrorKind, LagoonstairError

ID_BYTES = 8
"""Length of a key's ID in random bytes."""
SECRET_BYTES = 32
"""Length of a key's secret in random bytes."""

_FORM = re.compile(
    rf"ls_([0-9a-f]{{{ID_BYTES * 2}}})_([0-9a-f]{{{SECRET_BYTES * 2}}})"
)

RandomBytes = Callable[[int], bytes]


class Key(NamedTuple):
    """A key that a caller or an operator presented.

    Attributes:
        id: The public part, which identifies the key.
        secret: The secret part.
    """

    id: str
    secret: str

    def __repr__(self) -> str:
        return f"Key(id={self.id!r})"


class IssuedKey(NamedTuple):
    """A newly issued key.

    Attributes:
        id: The public part.
        text: The whole key, to be shown to its owner once.
        sha256: The SHA-256 of the secret, in hexadecimal digits.
    """

    id: str
    text: str
    sha256: str

    def __repr__(self) -> str:
        return f"IssuedKey(id={self.id!r})"


def issue(random_bytes: RandomBytes) -> IssuedKey:
    """Creates a key from a source of random bytes."""
    key_id = random_bytes(ID_BYTES).hex()
    secret = random_bytes(SECRET_BYTES).hex()
    return IssuedKey(key_id, f"ls_{key_id}_{secret}", hash_secret(secret))


def parse(text: str) -> Key:
    """Splits a key into its ID and its secret.

    Raises:
        LagoonstairError: ``BAD_REQUEST``. The message doesn't contain the
            text.
    """
    match = _FORM.fullmatch(text)
    if match is None:
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST,
            "key: expected ls_<16 hexadecimal digits>_<64 hexadecimal "
            f"digits>, found {len(text)} characters of another form",
        )
    return Key(match[1], match[2])


def hash_secret(secret: str) -> str:
    """Returns the SHA-256 of a secret, in hexadecimal digits."""
    return hashlib.sha256(secret.encode()).hexdigest()


def digest_matches(secret: str, sha256: str) -> bool:
    """Compares a secret with a stored hash in constant time."""
    return hmac.compare_digest(hash_secret(secret), sha256)
