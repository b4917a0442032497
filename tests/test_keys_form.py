"""Keys: their format, their hash, and their absence from representations."""

import pytest

from lagoonstair import keys
from lagoonstair.exceptions import ErrorKind, LagoonstairError


def test_issued_key_parses_and_matches_its_hash_only():
    key = keys.issue(lambda size: b"\x07" * size)
    parsed = keys.parse(key.text)
    assert parsed.id == key.id
    assert keys.digest_matches(parsed.secret, key.sha256)
    assert not keys.digest_matches("0" * 64, key.sha256)


def test_secret_stays_out_of_representations():
    key = keys.issue(lambda size: b"\x07" * size)
    shown = repr(key) + repr(keys.parse(key.text))
    assert key.text not in shown
    assert keys.parse(key.text).secret not in shown


@pytest.mark.parametrize(
    "text",
    ["", "sl_", "ls_00_11", f"ls_{'0' * 16}_{'G' * 64}", f"{'x' * 84}\n"],
)
def test_key_of_the_wrong_form_is_refused_without_repeating_it(text):
    with pytest.raises(LagoonstairError) as caught:
        keys.parse(text)
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    assert not text or text not in caught.value.message
