"""Tests of standings in directives and of paces in reports; no I/O."""

import types
import typing
import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

OTHER_JOB = '00000000000000b2'
TASK = f'{builders.JOB}.0.0.0'
FILLER = workloads.Step(
    count=1, cpu_millis=1000, filler=True, image='f1', estimated_ms=5000
)
DELAYED = decisions.Standing.DELAYED
EXPIRED = decisions.Standing.EXPIRED
# Bytes a second that a daemon may spend on control, and the directives to a
# sidecar in that time.
BUDGET_BYTES = 3000
DIRECTIVES_PER_SECOND = 2.5


class StandingTest(engine_case.EngineTest):
    def start_fillers(self) -> None:
        self.start_job(FILLER)
        self.leader.submit(builders.make_job(FILLER, identifier=OTHER_JOB))
        self.leader.plan()

    def list_standings(
        self, sidecar: str = 'side-1'
    ) -> list[tuple[str, decisions.Standing]]:
        return [
            (item.job, item.standing)
            for item in self.leader.make_directive(sidecar).standings
        ]

    def test_each_directive_names_the_jobs_that_are_not_in_time(self) -> None:
        self.start_fillers()
        self.leader.report(builders.make_report('side-2'))
        ranks = self.leader.engine.state.ranks
        self.assertEqual([], self.list_standings())
        ranks[builders.JOB] = decisions.Rank(DELAYED, 0.0)
        ranks[OTHER_JOB] = decisions.Rank(decisions.Standing.TIMELY, 0.0)
        ranks['00000000000000c3'] = decisions.Rank(EXPIRED, 0.0)
        # Repeated, as any directive may be lost.
        for _ in range(2):
            self.assertEqual([(builders.JOB, DELAYED)], self.list_standings())
        self.assertEqual([], self.list_standings('side-2'))
        ranks[builders.JOB] = decisions.Rank(EXPIRED, 0.0)
        self.assertEqual([(builders.JOB, EXPIRED)], self.list_standings())
        ranks.clear()
        self.assertEqual([], self.list_standings())

    def test_job_without_fillers_on_the_worker_is_not_named(self) -> None:
        self.start_job(engine_case.ONE_TASK_STEP)
        self.leader.engine.state.ranks[builders.JOB] = decisions.Rank(
            DELAYED, 0.0
        )
        self.assertEqual([], self.list_standings())

    def test_new_leader_names_none_before_it_has_chosen(self) -> None:
        self.start_fillers()
        self.leader.engine.state.ranks[builders.JOB] = decisions.Rank(
            DELAYED, 0.0
        )
        successor = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        running = (builders.make_running(TASK),)
        successor.report(builders.make_report(running=running))
        self.assertEqual((), successor.make_directive().standings)

    def test_sidecar_learns_the_requested_processor_time(self) -> None:
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(FILLER))
        self.leader.plan()
        (start,) = self.leader.make_directive().starts
        self.assertEqual(1000, start.cpu_millis)
        # A restarted sidecar has lost it.
        self.leader.report(
            builders.make_report(
                running=(builders.make_running(TASK),), sidecar_incarnation='b'
            )
        )
        (adopted,) = self.leader.make_directive().adopted
        self.assertEqual(1000, adopted.cpu_millis)

    def test_standings_of_many_jobs_take_little_of_the_budget(self) -> None:
        # A worker with eight fillers, each of a job of its own.
        standings = tuple(
            coordination.JobStanding(f'{number:016x}', DELAYED)
            for number in range(8)
        )
        size = len(msgspec.msgpack.encode(standings))
        self.assertLess(size * DIRECTIVES_PER_SECOND, 0.2 * BUDGET_BYTES)


class PaceReportTest(engine_case.EngineTest):
    def setUp(self) -> None:
        super().setUp()
        self.start_job(FILLER)
        self.clock_ms = 1000

    def report(self, percent: int | None, **fields: typing.Any) -> None:
        """Report the pace of the run half a second later."""
        self.leader.now += 0.5
        self.clock_ms += 500
        paces = (
            (coordination.RunPace(TASK, 1, percent),)
            if percent is not None
            else ()
        )
        self.leader.report(
            msgspec.structs.replace(
                builders.make_report(
                    running=(builders.make_running(TASK),),
                    clock_ms=self.clock_ms,
                    **fields,
                ),
                paces=paces,
            )
        )

    def measure_held(self) -> float:
        (worker,) = self.leader.engine.state.workers.values()
        return worker.runs[TASK].measure_held(self.leader.now)

    def find_pace(self) -> int:
        (worker,) = self.leader.engine.state.workers.values()
        return worker.runs[TASK].pace

    def test_run_is_held_from_the_first_report_of_a_low_pace(self) -> None:
        for percent, pace, held in (
            (None, 100, 0.0),
            (30, 30, 0.0),
            (0, 0, 0.0),
            (5, 5, 0.5),
            (0, 0, 1.0),
            (30, 30, 0.0),
            (0, 0, 0.0),
            (None, 100, 0.0),
        ):
            self.report(percent)
            with self.subTest(percent=percent):
                self.assertEqual(pace, self.find_pace())
                self.assertAlmostEqual(held, self.measure_held())

    def test_time_without_answers_does_not_count(self) -> None:
        self.report(0)
        self.report(0, answering=False)
        self.report(0)
        self.assertAlmostEqual(0.0, self.measure_held())
        self.report(0)
        self.assertAlmostEqual(0.5, self.measure_held())

    def test_pace_of_an_earlier_run_of_the_task_does_not_count(self) -> None:
        self.report(None)
        self.leader.report(
            msgspec.structs.replace(
                builders.make_report(running=(builders.make_running(TASK),)),
                paces=(coordination.RunPace(TASK, 7, 0),),
            )
        )
        self.assertEqual(100, self.find_pace())


class VersionTest(unittest.TestCase):
    """Exchange messages with processes of the earlier version."""

    DIRECTIVE = coordination.Directive(
        builders.EPOCH,
        'w',
        1,
        2,
        (
            coordination.StartOrder(
                TASK, 1, 'work', '', 'f1', 0, True, False, '', 1000
            ),
        ),
        adopted=(coordination.AdoptedRun(TASK, 1, 'f1', 0, True, 1000),),
        standings=(coordination.JobStanding(builders.JOB, DELAYED),),
    )
    REPORT = msgspec.structs.replace(
        builders.make_report(running=(builders.make_running(TASK),)),
        paces=(coordination.RunPace(TASK, 1, 0),),
    )

    def drop_last(
        self, kind: type[msgspec.Struct], **replaced: typing.Any
    ) -> typing.Any:
        """Return the message of the version without the last field."""
        return msgspec.defstruct(
            f'Earlier{kind.__name__}',
            [
                (
                    field.name,
                    replaced.get(field.name, field.type),
                    *(() if field.required else (field.default,)),
                )
                for field in msgspec.structs.fields(kind)[:-1]
            ],
            array_like=True,
            frozen=True,
        )

    def test_earlier_messages_are_read_with_defaults(self) -> None:
        for message, changed in (
            (self.DIRECTIVE, ('starts', 'adopted')),
            (self.REPORT, ()),
        ):
            with self.subTest(type(message).__name__):
                values = msgspec.msgpack.decode(
                    coordination.ENCODER.encode(message)
                )
                names = message.__struct_fields__
                values.pop()
                for name in changed:
                    for item in values[names.index(name)]:
                        item.pop()
                read = msgspec.msgpack.decode(
                    msgspec.msgpack.encode(values), type=type(message)
                )
                (*_, last) = msgspec.structs.fields(type(message))
                self.assertEqual(last.default, getattr(read, last.name))
                for name in changed:
                    (item,) = getattr(read, name)
                    self.assertEqual(TASK, item.task)
                    self.assertEqual(0, item.cpu_millis)

    def test_earlier_processes_read_the_messages(self) -> None:
        starts = types.GenericAlias(
            tuple, (self.drop_last(coordination.StartOrder), ...)
        )
        adopted = types.GenericAlias(
            tuple, (self.drop_last(coordination.AdoptedRun), ...)
        )
        directive = msgspec.msgpack.decode(
            coordination.ENCODER.encode(self.DIRECTIVE),
            type=self.drop_last(
                coordination.Directive, starts=starts, adopted=adopted
            ),
        )
        self.assertEqual('w', directive.incarnation)
        self.assertEqual([TASK], [item.task for item in directive.starts])
        self.assertEqual([TASK], [item.task for item in directive.adopted])
        report = msgspec.msgpack.decode(
            coordination.ENCODER.encode(self.REPORT),
            type=self.drop_last(coordination.Report),
        )
        self.assertEqual(
            [platform.RunningTask(TASK, 1, '', 10.0, 1000.0)],
            list(report.running),
        )


if __name__ == '__main__':
    unittest.main()
