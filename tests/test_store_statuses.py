"""Statuses with which the store and the duties answer a call."""

import pytest

from lagoonstair.platform.duties import Duties, PromoteAnswer
from lagoonstair.platform.store import Store, StoreError
from raw_servers import read_request, response, start_raw


# Guards against a status that leaves the outcome open, taken for a refusal.
@pytest.mark.parametrize(
    ("status", "refused"),
    [
        (b"400 Bad Request", True),
        (b"403 Forbidden", True),
        (b"429 Too Many Requests", True),
        (b"503 Service Unavailable", True),
        (b"507 Insufficient Storage", True),
        (b"202 Accepted", False),
        (b"302 Found", False),
        (b"408 Request Timeout", False),
        (b"500 Internal Server Error", False),
        (b"502 Bad Gateway", False),
        (b"504 Gateway Timeout", False),
    ],
)
async def test_only_some_statuses_refuse_a_call(nursery, status, refused):
    answer = response(b"", status=status)

    async def script(stream):
        await read_request(stream)
        await stream.send_all(answer)
        await stream.receive_some()

    address = await start_raw(nursery, script)
    with pytest.raises(StoreError) as caught:
        await Store(address).transact()
    assert caught.value.refused == refused
    duties = Duties(address)
    promoted = await duties.promote("g", "d", holder="i", fence=1)
    expected = PromoteAnswer.REFUSED if refused else PromoteAnswer.UNKNOWN
    assert promoted is expected
