"""Tests that any bytes of another writer are decoded or refused."""

import collections.abc
import math
import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from chivespoke import coordination
from chivespoke.coordination import _handover
from chivespoke.coordination import _learned_record
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke import decoding
from chivespoke import errors
from chivespoke import platform
from chivespoke.platform import _advisor
from chivespoke.platform import _store
from chivespoke.platform import _transport
from chivespoke.platform import _workers
from chivespoke import workloads

JOB = '00000000000000a1'
QUEUE = workloads.Queue('q', 'host', '/q/', workloads.QueueTerms('s'))
REGISTRATION: dict[str, object] = {
    'service': 's',
    'address': '10.0.0.9:80',
    'zone': 'z',
    'state': 'ready',
    'sequence': 4,
    'born': 12,
    'capacity': {'cpu': 16000, 'mem_mb': 100},
    'labels': ['a', 'r1-3'],
}
DEEP = b'[' * 100_000 + b']' * 100_000
DEEP_RECORD = b'\x91' * 100_000 + b'\xc0'
Decode: typing.TypeAlias = collections.abc.Callable[[bytes], object]


def decode_operator_record(value: bytes) -> object:
    return platform.decode_operator_record(platform.Record(0, 'config', value))


def decode_response(decoder: decoding.Decoder[object]) -> Decode:
    return lambda body: _transport.decode_response(
        decoder, body, 'call', 'peer'
    )


def decode_message(decoder: decoding.Decoder[object]) -> Decode:
    return lambda frame: decoding.decode(decoder, frame, 'read', 'peer')


def apply_record(prefix: str) -> Decode:
    def apply(value: bytes) -> object:
        ledger = _records.Ledger()
        ledger.apply(platform.Record(0, prefix + JOB, value))
        entry = ledger.entries.get(JOB)
        return entry.phase if entry is not None else ledger.sidecars

    return apply


DECODERS: dict[str, Decode] = {
    'registration': lambda body: platform.decode_registration('i-1', body),
    'submission': lambda body: platform.decode_submission(body, JOB, QUEUE, 7),
    'operator record': decode_operator_record,
    'worker status': lambda body: _workers.decode_status(body, 'i-1'),
    'worker refusal': lambda body: _workers._read_refusal(
        platform.Response(409, body)
    ),
    'store refusal': _store._read_reason,
    'append': decode_response(_store.APPEND_DECODER),
    'newest records': decode_response(_store.NEWEST_DECODER),
    'membership': decode_response(_store.JOIN_DECODER),
    'advice': decode_response(_advisor.ADVICE_DECODER),
    'report': decode_message(_messages.REPORT_DECODER),
    'directive': decode_message(_messages.DIRECTIVE_DECODER),
    'question to a leader': decode_message(_handover.REQUEST_DECODER),
    'answer of a leader': decode_message(_handover.HANDOVER_DECODER),
    'silent sidecar': apply_record(_records.SILENT_PREFIX),
    'leader': lambda value: _records.Ledger().apply(
        platform.Record(0, f'{_records.LEADER_PREFIX}7', value)
    ),
    'learned record': _learned_record.decode_record,
    'job': apply_record(_records.JOB_PREFIX),
    'progress': apply_record(_records.PROGRESS_PREFIX),
    'sidecar': apply_record(_records.WORKER_PREFIX),
    'entry': apply_record(_records.ENTRY_PREFIX),
    'ended worker': apply_record(_records.ENDED_PREFIX),
    'load': lambda value: _records.Ledger().apply(
        platform.Record(0, _records.LOAD_KEY, value)
    ),
    'records': lambda body: platform.decode_records(body, 0),
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(
            strategies.sampled_from(
                sorted(REGISTRATION) + ['steps', 'running', 'items', 'version']
            ),
            inner,
        )
    ),
    max_leaves=8,
)


def encode_msgpack(value: object) -> bytes:
    """Encode a value; numbers beyond 64 bits do not fit the format."""
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b'\xcf' + b'\xff' * 8


CONTENTS = (
    strategies.binary()
    | JSON_VALUES.map(msgspec.json.encode)
    | JSON_VALUES.map(encode_msgpack)
)


class DecodersTest(unittest.TestCase):
    """Decode bytes of another writer with each decoder."""

    @hypothesis.given(content=CONTENTS)
    def test_any_bytes_are_decoded_or_refused(self, content: bytes) -> None:
        for name, decode in DECODERS.items():
            self.check(name, decode, content)

    def test_deeply_nested_content_is_refused(self) -> None:
        # Regression: RecursionError. A follower applied such a record again
        # and again, and read no later ones.
        contents = (
            DEEP,
            b'{"unknown":' + DEEP + b'}',
            DEEP_RECORD,
            b'\x81\xa7unknown' + DEEP_RECORD,
        )
        for name, decode in DECODERS.items():
            for content in contents:
                with self.subTest(name, content=content[:10]):
                    self.check(name, decode, content)

    def check(self, name: str, decode: Decode, content: bytes) -> None:
        try:
            decode(content)
        except (errors.RefusedError, errors.UnavailableError):
            return
        except Exception as error:
            self.fail(f'{name}: {error!r}')


class RegistrationTest(unittest.TestCase):
    def decode(self, **changes: object) -> platform.Registration:
        return platform.decode_registration(
            'i-1', msgspec.json.encode(REGISTRATION | changes)
        )

    def test_numbers_that_no_message_holds_are_refused(self) -> None:
        # Regression: the report of such a worker could not be encoded, so that
        # its sidecar fell silent.
        for field in ('born', 'sequence', 'clock_ms', 'remaining_ms'):
            for value in (2**64, -(2**64), 2**53 + 2):
                with self.subTest(field, value=value):
                    with self.assertRaises(errors.RefusedError):
                        self.decode(**{field: value})
        for value in (-1, 2**64):
            with self.subTest('capacity', value=value):
                with self.assertRaises(errors.RefusedError):
                    self.decode(capacity={'cpu': value})

    def test_number_of_400_digits_is_refused(self) -> None:
        body = msgspec.json.encode(REGISTRATION | {'born': 12345})
        with self.assertRaises(errors.RefusedError):
            platform.decode_registration(
                'i-1', body.replace(b'12345', b'9' * 400)
            )

    def test_addresses(self) -> None:
        for address, is_valid in (
            ('10.0.0.9:80', True),
            ('10.0.0.9:65535', True),
            ('[::1]:80', True),
            ('10.0.0.9:99999', False),
            ('10.0.0.9:0', False),
            ('10.0.0.9:-1', False),
            ('10.0.0.9:' + '9' * 5000, False),
            ('10.0.0.9', False),
            ('host:80', False),
            ('h' * 300 + ':80', False),
            ('', False),
        ):
            with self.subTest(address[:20]):
                if is_valid:
                    self.assertEqual(
                        address, self.decode(address=address).address
                    )
                    continue
                with self.assertRaises(errors.RefusedError):
                    self.decode(address=address)


class LedgerRecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = _records.Ledger()
        self.job = workloads.Job(
            JOB,
            'q',
            QUEUE.terms,
            'work',
            (workloads.Step(2), workloads.Step(1, depends_on=(0,))),
            1,
        )
        self.entry = self.apply(_records.JOB_PREFIX, self.job)

    def apply(self, prefix: str, value: object) -> coordination.JobEntry:
        """Apply a record of the job; return the job's entry."""
        content = msgspec.msgpack.encode(value)
        self.ledger.apply(platform.Record(0, prefix + JOB, content))
        return self.ledger.entries[JOB]

    def test_jobs_that_no_leader_could_schedule_are_refused(self) -> None:
        step = self.job.steps[0]
        for name, changes in (
            ('no steps', {'steps': ()}),
            ('no tasks', {'steps': (workloads.Step(0),)}),
            (
                'cycle',
                {'steps': (msgspec.structs.replace(step, depends_on=(0,)),)},
            ),
            ('tasks beyond memory', {'occurrences': 2**50}),
            ('another job', {'identifier': '00000000000000a2'}),
            (
                'no number',
                {
                    'terms': msgspec.structs.replace(
                        QUEUE.terms, stretch=math.nan
                    )
                },
            ),
        ):
            with self.subTest(name):
                self.ledger = _records.Ledger()
                job = msgspec.structs.replace(self.job, **changes)
                with self.assertRaises(errors.RefusedError):
                    self.apply(_records.JOB_PREFIX, job)
                self.assertEqual({}, self.ledger.entries)

    def test_progress_stays_if_the_next_one_is_unreadable(self) -> None:
        progress = workloads.make_initial_progress(self.job)
        progress.phase = workloads.JobPhase.COMPLETED
        self.apply(_records.PROGRESS_PREFIX, progress)
        self.assertIs(workloads.JobPhase.COMPLETED, self.entry.phase)
        for value in (['running'], ['running', [[]]], 'odd'):
            with self.subTest(value):
                self.apply(_records.PROGRESS_PREFIX, value)
                self.assertIs(workloads.JobPhase.COMPLETED, self.entry.phase)
                self.assertEqual(progress, self.entry.copy_progress())

    def test_progress_that_is_unreadable_is_none_to_begin_with(self) -> None:
        # The tasks may have ended, so that no leader starts them again.
        self.apply(_records.PROGRESS_PREFIX, ['running', [[]]])
        for _ in range(2):
            with self.assertRaises(errors.RefusedError):
                self.entry.copy_progress()

    def test_address_that_no_process_has_is_refused(self) -> None:
        # Regression: the link of the leader to it failed, and the leader read
        # no later records.
        self.apply(_records.WORKER_PREFIX, {'address': '10.0.0.9:80'})
        for prefix in (_records.WORKER_PREFIX, _records.ENTRY_PREFIX):
            for address in ('10.0.0.9', '10.0.0.9:99999', 'h' * 300 + ':80'):
                with self.subTest(prefix, address=address[:20]):
                    with self.assertRaises(errors.RefusedError):
                        self.apply(prefix, {'address': address})
        self.assertEqual({JOB: '10.0.0.9:80'}, self.ledger.sidecars)
        self.assertEqual({}, self.ledger.entry_addresses)


if __name__ == '__main__':
    unittest.main()
