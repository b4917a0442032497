"""Rows of other writers: an odd one names nothing, and ends no process.

Decoders are given arbitrary values, and real processes find odd entries in the
list of endpoints, through restarts.
"""

import ipaddress
import signal
import socket
import zlib
from types import SimpleNamespace

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.homes import HomeAssignment, InstanceResources
from lagoonstair.peers import HandlerRegistry
from lagoonstair.platform import discovery, operator
from lagoonstair.platform.store import _decode_row, _WireRow
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._quota import Quota, Tolerance
from lagoonstair.proxy._tables import KnownVersions, Tables
from proxy_fleet import ANSWER_SECONDS, config, proxy_fleet

DEPTH = 10_000
"""Levels of nesting that fit into the size limit of a row."""

PROMOTION_SECONDS = 10
"""Time limit of a promotion in seconds, also on a busy machine."""

ENTRY = {
    "service": "g",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "db_role": "primary",
    "seq_no": 4,
    "born": 1000,
}
VALID = msgspec.json.encode(ENTRY)


def _with_raw(name, text):
    """Returns an entry with a field whose value is given as JSON text."""
    entry = {key: value for key, value in ENTRY.items() if key != name}
    head = msgspec.json.encode(entry)[:-1]
    return head + b',"' + name.encode() + b'":' + text + b"}"


ODD = {
    "lists": _with_raw("more", b"[" * DEPTH + b"]" * DEPTH),
    "objects": _with_raw("more", b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "unclosed": b"[" * DEPTH,
    "nested-name": _with_raw("service", b"[" * DEPTH + b"]" * DEPTH),
    "port-0": _with_raw("address", b'"10.0.0.1:0"'),
    "port-65536": _with_raw("address", b'"10.0.0.1:65536"'),
    "port-large": _with_raw("address", b'"10.0.0.1:' + b"9" * 30 + b'"'),
    "port-huge": _with_raw("address", b'"10.0.0.1:' + b"9" * 9000 + b'"'),
    "port-digits": _with_raw("address", '"10.0.0.1:٨٠"'.encode()),
    "host-long": _with_raw("address", b'"' + b"a" * 300 + b':80"'),
    "host-name": _with_raw("address", b'"db.example:80"'),
    "host-scope": _with_raw("address", b'"fe80::1%eth0:80"'),
    "host-scope-long": _with_raw("address", b'"fe80::1%' + b"x" * 70 + b':80"'),
    "host-scope-odd": _with_raw("address", '"fe80::1%.é:80"'.encode()),
    "host-brackets": _with_raw("address", b'"[::1]:80"'),
    "slots-large": _with_raw("slots", b"9" * 30),
    "slots-huge": _with_raw("slots", b"9" * 9000),
    "slots-exponent": _with_raw("slots", b"1e300"),
    "sequence-large": _with_raw("seq_no", b"9" * 30),
    "sequence-negative": _with_raw("seq_no", b"-" + b"9" * 30),
    "born-large": _with_raw("born", b"9" * 30),
    "born-infinite": _with_raw("born", b"1e999"),
    "group-long": _with_raw("service", b'"' + b"g" * 300 + b'"'),
    "group-lines": _with_raw("service", b'"g\\r\\nSTART h"'),
    "group-blank": _with_raw("service", b'"g h"'),
    "group-empty": _with_raw("service", b'""'),
    "bytes": b"\xff\xfe\x00",
    "empty": b"",
    "surrogate": _with_raw("zone", b'"\\ud800"'),
}
"""Values of entries that name no endpoint."""


@pytest.mark.parametrize("kind", ODD)
def test_an_odd_entry_names_no_endpoint(kind):
    """Too deep, too large or out of range: no error leaves the decoder."""
    assert discovery.decode_endpoint("i-7", ODD[kind]) is None


@pytest.mark.parametrize("name", ["", "a b", "a\r\nb", "ü", "x" * 300])
def test_an_entry_under_an_odd_name_names_no_endpoint(name):
    """The name becomes a field of a line that is sent to an endpoint."""
    assert discovery.decode_endpoint(name, VALID) is None


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**18, max_value=10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.sampled_from(["ready", "primary", "10.0.0.1:80", "1.2.3.4:99999"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def _to_json(value):
    """Encodes integers of any size, which msgspec's encoder does not."""
    match value:
        case dict():
            pairs = (
                f"{_to_json(key)}:{_to_json(item)}"
                for key, item in value.items()
            )
            return "{" + ",".join(pairs) + "}"
        case list():
            return "[" + ",".join(map(_to_json, value)) + "]"
        case bool() | None | float() | str():
            return msgspec.json.encode(value).decode()
        case _:
            return str(value)


@given(st.dictionaries(st.sampled_from([*ENTRY, "more"]), JSON), st.text())
def test_a_decoded_entry_is_within_all_ranges(changes, name):
    value = _to_json({**ENTRY, **changes}).encode("utf-8", "surrogatepass")
    for key in ("i-7", name):
        endpoint = discovery.decode_endpoint(key, value)
        if endpoint is None:
            continue
        ipaddress.ip_address(endpoint.address.host)
        assert 1 <= endpoint.address.port <= 65535
        assert 1 <= endpoint.slots < 2**31
        assert 0 <= endpoint.started < 2**63
        assert 0 <= endpoint.sequence < 2**63
        for text in (endpoint.name, endpoint.group):
            assert text.isascii()
            assert text.isprintable()
            assert " " not in text


HOSTS = st.ip_addresses().map(str)
ADDRESSES = st.builds(
    "{}{}:{}".format,
    HOSTS,
    st.just("") | st.text(max_size=70).map("%{}".format),
    st.integers(min_value=0, max_value=70_000),
)


@given(ADDRESSES)
def test_a_decoded_address_is_used_without_a_lookup(text):
    """A scope once passed as an address, and raised when it was used."""
    try:
        host, port = discovery.parse_address(text)
    except ValueError:
        return
    flags = socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
    found = socket.getaddrinfo(host, port, flags=flags)
    resolved = {
        (ipaddress.ip_address(address[0]), address[1]) for *_, address in found
    }
    assert resolved == {(ipaddress.ip_address(host), port)}


@given(st.binary(max_size=200))
def test_arbitrary_bytes_end_no_decoder(value):
    discovery.decode_endpoint("i-7", value)
    with pytest.raises(operator.BadConfigError):
        operator.decode_config(value)


@pytest.mark.parametrize(
    "value",
    [
        b"[" * DEPTH,
        b'{"version":1,"routes":[],"services":[],"more":'
        + b'{"a":' * DEPTH
        + b"1"
        + b"}" * DEPTH
        + b"}",
        b'{"routes":[],"services":[],"version":' + b"9" * 9000 + b"}",
        b'{"routes":[],"services":[],"version":' + b"9" * 30 + b"}",
    ],
)
def test_an_odd_configuration_is_refused(value):
    with pytest.raises(operator.BadConfigError):
        operator.decode_config(value)


@given(st.text(max_size=30))
def test_a_value_that_is_not_base64_is_no_value_of_the_row(text):
    """The other rows of the answer are used nevertheless."""
    row = _decode_row(_WireRow(key="k", row_version=7, value=text))
    assert row.version == 7
    assert row.value is not None


async def test_odd_entries_end_no_process_through_restarts(tmp_path):
    """Each process reads the list at its start, and follows its changes."""
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        for kind, value in ODD.items():
            fleet.store.put("servers", f"odd-{kind}", value)
        fleet.store.put_encoded("servers", "odd-base64", "!")
        for name in fleet.processes:
            fleet.signal(name, signal.SIGKILL)
            await fleet.wait_ended(name)
            await fleet.start_instance(name)
            await fleet.wait_ready(name)
        # An endpoint's entry turns odd while the instances follow the list.
        fleet.store.put("servers", "d3", ODD["lists"])
        fleet.store.put("op", "config", config(version=2))
        await fleet.until(
            lambda: all(_versions(fleet, name) for name in fleet.processes),
            ANSWER_SECONDS,
        )
        await trio.sleep(1)
        for name in fleet.processes:
            assert fleet.processes[name].poll() is None, fleet.log(name)[-3:]
            caller = await fleet.caller(instance=name)
            answer = await caller.ask(f"q-{name}", "WRITE z 1")
            assert answer[-1].startswith("READY I"), answer
            log = fleet.log(name)
            started = max(
                number
                for number, line in enumerate(log)
                if line["event"] == "starting"
            )
            logged = [
                line["endpoint"]
                for line in log[started:]
                if line["event"] == "endpoint entry unreadable"
            ]
            # Some instances get the list from others, without the odd ones.
            assert len(logged) == len(set(logged))
        assert any(
            line["event"] == "endpoint entry unreadable"
            for name in fleet.processes
            for line in fleet.log(name)
        )


def _versions(fleet, name):
    return [
        line
        for line in fleet.log(name)
        if line["event"] == "configuration in force" and line["version"] == 2
    ]


@pytest.mark.parametrize("name", ["", "a b", "a\r\nQUERY - RESET", "a\tb"])
def test_a_workspace_whose_name_fits_into_no_line_is_left_out(name):
    """The other workspaces keep their keys."""
    cfg = config()
    cfg["tenants"][0]["name"] = name
    decoded = operator.decode_config(msgspec.json.encode(cfg))
    assert decoded.keys == {"key-w2": "w2"}
    assert list(decoded.workspaces) == ["w2"]


# Guards against: a workspace whose amounts end the application of the rates of
# all workspaces, or the session of each operation that waits.
@pytest.mark.parametrize("amount", [0, 1e-9, 1e303, 1.7e308])
async def test_an_odd_rate_costs_no_other_workspace_its_own(amount):
    cfg = config()
    cfg["tenants"][0] |= {"rate_per_s": amount, "burst": amount}
    decoded = operator.decode_config(msgspec.json.encode(cfg))
    quota = Quota(
        "i1",
        None,
        HandlerRegistry(),
        lambda name: None,
        lambda: True,
        Tolerance(10.0, 0.1, 5.0),
        SimpleNamespace(round_trip=lambda name: 0.0, note_ask=None),
    )
    homes = HomeAssignment(
        {"i1": InstanceResources("a")}, max_connections=40, workspaces=2
    )
    quota.apply(decoded, homes, resumed=True)
    await quota.admit("w2")
    if amount < 1:
        with pytest.raises(LagoonstairError) as caught:
            await quota.admit("w1")
        assert caught.value.kind is ErrorKind.RATE_LIMITED


async def test_an_odd_configuration_leaves_the_one_before_in_force():
    """It does not count as known, so the age of the knowledge tells of it."""
    fleet = Fleet("i1", "a", Metrics())
    registry = SimpleNamespace(
        version=0, era=0, changes_since=lambda era, version: ()
    )
    tables = Tables(fleet, registry, Metrics())
    valid = msgspec.json.encode(config())
    assert tables.apply_config(valid, source="feed")
    for _ in range(2):
        odd = b'{"version":2,"routes":' + b"[" * DEPTH
        assert not tables.apply_config(odd, source="check")
    assert fleet.config.version == 1
    update = tables.update_for(KnownVersions(0, 0, 0))
    assert zlib.decompress(update.config) == valid


async def test_a_primary_is_replaced_beside_an_entry_with_a_scope(tmp_path):
    """The instance that promoted ended with each attempt, at each start."""
    async with proxy_fleet(tmp_path, instances=2) as fleet:
        for number, kind in enumerate(ODD):
            fleet.store.put("servers", f"odd-{number}", ODD[kind])
        old = fleet.group.primary
        old.draining = True
        fleet.group.publish_entry(old)
        await fleet.until(
            lambda: fleet.group.primary is not old, PROMOTION_SECONDS
        )
        for name, process in fleet.processes.items():
            assert process.poll() is None, fleet.log(name)[-3:]
            caller = await fleet.caller(instance=name)
            answer = await caller.ask(f"q-{name}", "WRITE z 1")
            assert answer[-1].startswith("READY I"), answer
