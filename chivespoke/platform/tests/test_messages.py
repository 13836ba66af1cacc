"""Tests of decoding messages from callers, workers and the operator."""

import unittest

import msgspec

from chivespoke import errors
from chivespoke import platform
from chivespoke import workloads

QUEUE = workloads.Queue('q', 'host', '/q/', workloads.QueueTerms('s'))
IDENTIFIER = '5c0e7a21d94b36f8'
REGISTRATION = {
    'service': 's',
    'address': '10.0.0.9:80',
    'zone': 'z',
    'state': 'ready',
    'sequence': 4,
    'born': 12,
    'capacity': {'cpu': 16000, 'mem_mb': 100},
    'labels': ['a', 'r1-3'],
}


def decode_job(body: object) -> workloads.Job:
    return platform.decode_submission(
        msgspec.json.encode(body), IDENTIFIER, QUEUE, 7
    )


class SubmissionTest(unittest.TestCase):
    def test_impossible_numbers_are_refused_by_name(self) -> None:
        # Regression: a negative latency target was accepted, and each leader
        # failed on the logarithm of it, for as long as the job was known.
        step_fields = (
            'count',
            'cpu',
            'mem_mb',
            'gpu',
            'estimated_ms',
            'anti_affinity',
            'target_ms',
            'may_miss',
        )
        job_fields = ('repeat_count', 'start_at_ms', 'interval_ms')
        for value in (-1, 2**53 + 2, 2**64):
            for name in (*step_fields, *job_fields):
                with self.subTest(name=name, value=value):
                    step = {'count': 1}
                    body: dict[str, object] = {'steps': [step]}
                    (step if name in step_fields else body)[name] = value
                    with self.assertRaisesRegex(errors.RefusedError, name):
                        decode_job(body)

    def test_fields_of_a_step_are_decoded(self) -> None:
        step = {
            'count': 4,
            'cpu': 500,
            'mem_mb': 256,
            'gpu': 1,
            'estimated_ms': 900,
            'checkpointing': True,
            'affinity': 'r1-3',
            'anti_affinity': 2,
            'requirements': 'a',
            'allow_duplicates': True,
            'image': 'i',
            'fills': True,
        }
        job = decode_job({'spec': 'text', 'steps': [step]})
        self.assertEqual('text', job.payload)
        self.assertEqual(
            workloads.Step(
                count=4,
                cpu_millis=500,
                memory_mb=256,
                accelerators=1,
                estimated_ms=900,
                checkpointing=True,
                preferred_rack='r1-3',
                max_per_worker=2,
                required_label='a',
                allow_copies=True,
                image='i',
                filler=True,
            ),
            job.steps[0],
        )

    def test_invalid_submissions_are_refused_with_a_reason(self) -> None:
        cases: dict[str, object] = {
            'no steps': {'steps': []},
            'Object missing': {'spec': 'text'},
            'Expected': {'steps': [{'count': 'four'}]},
            'no tasks': {'steps': [{'count': 0}]},
            'does not precede it': {
                'steps': [{'count': 1, 'depends_on': [0]}]
            },
        }
        for reason, body in cases.items():
            with self.subTest(reason):
                with self.assertRaises(errors.RefusedError) as caught:
                    decode_job(body)
                self.assertIn(reason, str(caught.exception))

    def test_identifiers_are_sixteen_hexadecimal_digits(self) -> None:
        cases = {IDENTIFIER: True, IDENTIFIER[1:]: False, 'x' * 16: False}
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertIs(expected, platform.is_job_identifier(text))


class RegistrationTest(unittest.TestCase):
    def test_registration_is_decoded(self) -> None:
        registration = platform.decode_registration(
            'i-1', msgspec.json.encode(REGISTRATION)
        )
        self.assertEqual(12, registration.born_ms)
        self.assertEqual(
            workloads.Resources(16000, 100, 0), registration.capacity
        )
        self.assertFalse(registration.draining)

    def test_malformed_registrations_are_refused(self) -> None:
        cases = {
            'state': REGISTRATION | {'state': 'resting'},
            'type': REGISTRATION | {'sequence': 'four'},
            'missing': {'service': 's'},
        }
        for name, body in cases.items():
            with self.subTest(name), self.assertRaises(errors.RefusedError):
                platform.decode_registration('i-1', msgspec.json.encode(body))
        with self.assertRaises(errors.RefusedError):
            platform.decode_registration('i-1', b'\xff\x00')


class OperatorTest(unittest.TestCase):
    def decode(self, key: str, value: bytes) -> platform.OperatorChange | None:
        return platform.decode_operator_record(platform.Record(3, key, value))

    def test_configuration_routes_by_host_and_longest_prefix(self) -> None:
        routes = [
            {
                'name': name,
                'host': 'h',
                'path_prefix': prefix,
                'service': 's',
                'target_completion_ms': 250,
            }
            for name, prefix in (('short', '/a/'), ('long', '/a/b/'))
        ]
        body = {'version': 7, 'routes': routes, 'services': []}
        change = self.decode('config', msgspec.json.encode(body))
        assert isinstance(change, platform.ConfigurationWritten)
        cases = {
            ('h', '/a/1'): 'short',
            ('h', '/a/b/1'): 'long',
            ('other', '/a/1'): None,
            ('h', '/b/1'): None,
        }
        for (host, path), expected in cases.items():
            with self.subTest(host=host, path=path):
                queue = change.configuration.find_queue(host, path)
                self.assertEqual(expected, queue.name if queue else None)

    def test_recommendation_gives_the_time_of_an_answer(self) -> None:
        route = {'name': 'n', 'host': 'h', 'path_prefix': '/', 'service': 's'}
        advised = {
            'decision_ms': 500,
            'per_worker_ms': 50,
            'valid_ms': 3000,
        }
        cases: dict[str, tuple[dict[str, object], float | None]] = {
            'without': ({}, None),
            'with': ({'recommendation': advised}, 1.0),
        }
        for name, (fields, expected) in cases.items():
            with self.subTest(name):
                body = {'version': 1, 'routes': [{**route, **fields}]}
                change = self.decode('config', msgspec.json.encode(body))
                assert isinstance(change, platform.ConfigurationWritten)
                advice = change.configuration.queues[0].terms.advice
                answer_seconds = (
                    advice.estimate_answer_seconds(10) if advice else None
                )
                self.assertEqual(expected, answer_seconds)

    def test_tombstone_ends_an_evacuation(self) -> None:
        for value, active in ((b'{}', True), (b'', False)):
            self.assertEqual(
                platform.EvacuationChanged('zone-1', active),
                self.decode('evacuate/zone-1', value),
            )

    def test_unknown_keys_are_ignored_and_bad_values_refused(self) -> None:
        self.assertIsNone(self.decode('wave/1', b'{}'))
        with self.assertRaises(errors.RefusedError):
            self.decode('config', b'{"version": "x"}')


if __name__ == '__main__':
    unittest.main()
