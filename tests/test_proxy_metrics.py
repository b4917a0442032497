"""The metrics page, with label values of any characters."""

import re

import pytest
import trio

from lagoonstair.platform.store import StoreError
from lagoonstair.proxy._daemon import Instance
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._settings import InstanceSettings, Listen
from raw_servers import HOST, read_request, response, start_raw

SAMPLE = re.compile(
    r'lagoonstair_calls_total\{endpoint="((?:[^"\\\n]|\\[\\"n])*)"\} 1'
)
UNESCAPED = {r"\\": "\\", r"\"": '"', r"\n": "\n"}


# Guards against a label value that ends its sample and adds others.
@pytest.mark.parametrize(
    "value",
    [
        "d1",
        'd"1',
        "d\\",
        '\\"',
        "d\nlagoonstair_calls_total 7",
        "\\n",
        "d\r\x00\x85\u2028é",
        "",
    ],
)
def test_a_label_value_of_any_characters_stays_one_sample(value):
    metrics = Metrics()
    metrics.count("calls", endpoint=value)
    page = metrics.render()
    assert page.endswith("\n")
    sample = SAMPLE.fullmatch(page[:-1])
    assert sample is not None, page
    read = re.sub(
        r'\\[\\"n]', lambda found: UNESCAPED[found.group()], sample.group(1)
    )
    assert read == value


async def test_refused_requests_and_unexpected_responses_are_counted(nursery):
    """Runs the readiness server and the store client of an instance alone."""

    async def script(stream):
        while await read_request(stream):
            await stream.send_all(response(b"") * 2)

    store = await start_raw(nursery, script)
    (free,) = await trio.open_tcp_listeners(0, host=HOST)
    port = free.socket.getsockname()[1]
    ready = f"{HOST}:{port}"
    await free.aclose()
    metrics = Metrics()
    instance = Instance(
        InstanceSettings(
            instance="i1",
            failure_domain="a",
            host=HOST,
            listen=Listen(entry=ready, ready=ready),
            peer_ports=(1, 2),
            store=str(store),
            duties=str(store),
        ),
        metrics,
    )
    await nursery.start(instance._serve_readiness)
    with pytest.raises(StoreError):
        await instance._store.read_table("t")
    stream = await trio.open_tcp_stream(HOST, port)
    await stream.send_all(b"GET / HTTP/1.1\nhost: a\n\n")
    with trio.fail_after(2):
        assert b" 400 " in await stream.receive_some()
    page = metrics.render().splitlines()
    assert 'lagoonstair_responses_unexpected_total{reason="second"} 1' in page
    assert (
        'lagoonstair_http_requests_refused_total{reason="malformed"} 1' in page
    )
