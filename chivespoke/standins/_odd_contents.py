"""What another writer may leave in the topics and among the registrations."""

import msgspec

DEEP_JSON = b'[' * 100_000 + b']' * 100_000
DEEP_MSGPACK = b'\x91' * 100_000 + b'\xc0'
# An unknown field, which every reader skips, with a value nested too deeply.
DEEP_FIELD_MSGPACK = b'\x81\xa7unknown' + DEEP_MSGPACK
BAD_ADDRESSES = ('10.0.0.9', '10.0.0.9:99999', 'h' * 300 + ':80', '')
NAME = 'odd'
JOB = '0ddc0de00ddc0de0'


def list_odd_records() -> tuple[tuple[str, bytes], ...]:
    """Return keys and values of records of the system's topic."""
    contents = (DEEP_FIELD_MSGPACK, DEEP_MSGPACK, b'\xc1', DEEP_JSON)
    prefixes = (
        f'job/{JOB}',
        f'progress/{JOB}',
        f'worker/{NAME}',
        f'entry/{NAME}',
        f'ended/{NAME}',
        'load/summary',
        'learned/model',
        NAME,
    )
    addresses = tuple(
        (prefix + NAME, msgspec.msgpack.encode({'address': address}))
        for prefix in ('worker/', 'entry/')
        for address in BAD_ADDRESSES
    )
    return addresses + tuple(
        (key, content) for key in prefixes for content in contents
    )


def list_odd_registrations() -> tuple[bytes, ...]:
    """Return bodies of registrations that name no worker to use."""
    sound = {
        'service': 's',
        'address': '10.0.0.9:80',
        'zone': 'z',
        'state': 'ready',
        'sequence': 1,
        'born': 12345,
        'capacity': {'cpu': 1000},
    }
    encoded = msgspec.json.encode(sound)
    return (
        encoded[:-1] + b',"unknown":' + DEEP_JSON + b'}',
        encoded.replace(b'12345', b'9' * 400),
        encoded.replace(b'1000', b'9' * 400),
        *(
            msgspec.json.encode(sound | {'address': address})
            for address in BAD_ADDRESSES
        ),
        msgspec.json.encode(sound | {'state': 'unknown'}),
        DEEP_JSON,
        b'\xff\xfe',
    )
