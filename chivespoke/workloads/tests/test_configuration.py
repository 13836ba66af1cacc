"""Tests of questions to the operator's configuration."""

import unittest

from chivespoke import workloads

# Name, queues as (service, priority), and whether `service-1` is contended.
CASES = (
    ('no queue', (), False),
    ('one queue', (('service-1', 0),), False),
    ('one priority', (('service-1', 1), ('service-1', 1)), False),
    ('another service', (('service-1', 0), ('service-2', 1)), False),
    ('two priorities', (('service-1', 0), ('service-1', 2)), True),
)


class ConfigurationTest(unittest.TestCase):
    def test_service_is_contended_by_queues_of_several_priorities(
        self,
    ) -> None:
        for name, queues, expected in CASES:
            with self.subTest(name):
                configuration = workloads.Configuration(
                    1,
                    tuple(
                        workloads.Queue(
                            f'queue-{number}',
                            'host',
                            f'/{number}/',
                            workloads.QueueTerms(service, priority),
                        )
                        for number, (service, priority) in enumerate(queues)
                    ),
                )
                self.assertIs(
                    expected, configuration.is_contended('service-1')
                )


if __name__ == '__main__':
    unittest.main()
