"""Random histories with faults against a naive replay."""

import asyncio
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication.tests import builders
from chivespoke.replication.tests import test_snapshots
from chivespoke import standins

RETENTION = 150.0
PROCESSES = 3


class RecordingLog(standins.MemoryLog):
    """Remember every payload that took effect, also expired ones."""

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__(clock, RETENTION)
        self.history: list[bytes] = []

    def _store(self, stream: str, payload: bytes) -> int:
        self.history.append(payload)
        return super()._store(stream, payload)


class CuttableLog(replication.Log):
    """Reach a log over a path that may be cut for one process."""

    def __init__(self, log: replication.Log) -> None:
        self.log = log
        self.is_cut = False

    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        if self.is_cut:
            raise errors.RefusedError('append', 'log', 'cut')
        return await self.log.append(stream, payload)

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> replication.LogPage:
        if self.is_cut:
            raise errors.UnavailableError('read', 'log', 'cut')
        return await self.log.read(stream, start, limit, wait_seconds)


def replay_naively(history: list[bytes]) -> dict[str, int]:
    """Return the state after everything, from the very beginning."""
    fold = builders.CountFold()
    last: dict[str, int] = {}
    for offset, payload in enumerate(history):
        frame = replication.decode_frame(payload, 'naive')
        if frame.sequence <= last.get(frame.author, 0):
            continue
        last[frame.author] = frame.sequence
        if frame.kind is replication.FrameKind.RECORDS:
            for record in frame.records:
                fold.apply(
                    fold.decode(record),
                    replication.Position(
                        identifiers.Offset(offset), 0, frame.author
                    ),
                )
    return fold.sums


class HistoryMachine(stateful.RuleBasedStateMachine):
    """Commit, fail, pause, cut and replace in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = clocks.ManualClock()
        self.log = RecordingLog(self.clock)
        self.paths: list[CuttableLog] = []
        self.processes: list[builders.Process] = []
        self.lives = 0
        self.reached = [0] * PROCESSES
        # Records by key, and the futures that tell their fate.
        self.fates: dict[str, asyncio.Future[identifiers.Offset]] = {}
        for place in range(PROCESSES):
            self.paths.append(CuttableLog(self.log))
            self.processes.append(self.runner.run(self.start(place)))

    async def start(self, place: int) -> builders.Process:
        self.lives += 1
        process = builders.Process(
            self.paths[place],
            self.clock,
            f'life-{self.lives}',
            retention=RETENTION,
        )
        peer = self.processes[place - 1] if self.processes else None
        if peer is not None and len(self.processes) == PROCESSES:
            process.follower.relay = test_snapshots.PeerRelay(peer)
        await process.start()
        await builders.settle()
        return process

    async def replace(self, place: int) -> None:
        await self.processes[place].stop()
        self.reached[place] = 0
        self.processes[place] = await self.start(place)

    @stateful.rule(
        place=strategies.integers(0, PROCESSES - 1),
        lost_answers=strategies.integers(0, 2),
        duplicates=strategies.integers(0, 1),
        seconds=strategies.sampled_from((0.0, 0.5, 3.0)),
    )
    def commit(
        self, place: int, lost_answers: int, duplicates: int, seconds: float
    ) -> None:
        key = f'key-{len(self.fates)}'
        self.log.faults.lost_answers = lost_answers
        self.log.faults.duplicates = duplicates

        async def run() -> None:
            self.fates[key] = self.processes[place].committer.submit(
                builders.STREAM, builders.build_record(key)
            )
            await builders.settle()
            await builders.advance(self.clock, seconds, step=0.1)

        self.runner.run(run())

    @stateful.rule(
        faults=strategies.sampled_from(
            (
                {'append_down': True},
                {'read_down': True},
                {'append_down': True, 'read_down': True},
                {'append_delay': 5.0},
                {'append_delay': 0.5, 'read_delay': 0.5},
                {},
            )
        )
    )
    def set_faults(self, faults: dict[str, bool | int | float]) -> None:
        self.log.faults = standins.LogFaults(**faults)  # type: ignore

    @stateful.rule(seconds=strategies.sampled_from((1.0, 10.0, 60.0)))
    def pass_time(self, seconds: float) -> None:
        self.runner.run(
            builders.advance(self.clock, seconds, step=seconds / 40)
        )

    @stateful.rule()
    def pause_everything(self) -> None:
        """Stop the world for a minute, at whatever line it is."""
        self.clock.advance(60.0)
        self.runner.run(builders.settle())

    @stateful.rule(place=strategies.integers(0, PROCESSES - 1))
    def cut_or_mend(self, place: int) -> None:
        self.paths[place].is_cut = not self.paths[place].is_cut

    @stateful.rule(place=strategies.integers(0, PROCESSES - 1))
    def replace_one(self, place: int) -> None:
        self.runner.run(self.replace(place))

    @stateful.rule()
    def replace_all(self) -> None:
        async def run() -> None:
            for place in range(PROCESSES):
                await self.replace(place)

        self.runner.run(run())

    @stateful.invariant()
    def each_state_is_a_replay_of_everything_before(self) -> None:
        for place, process in enumerate(self.processes):
            replica = process.replica
            assert replica.divergence is None
            if not replica.is_ready:
                assert process.follower.last_read_at is None or (
                    self.reached[place] <= replica.next_offset
                )
                continue
            assert replica.next_offset >= self.reached[place]
            self.reached[place] = replica.next_offset
            expected = replay_naively(self.log.history[: replica.next_offset])
            assert replica.fold.sums == expected, (replica.next_offset,)

    @stateful.invariant()
    def acknowledged_records_stand_exactly_once(self) -> None:
        state = replay_naively(self.log.history)
        for key, fate in self.fates.items():
            count = state.get(key, 0)
            assert count <= 1, f'{key} took effect {count} times'
            if fate.done() and not fate.cancelled():
                error = fate.exception()
                if error is None:
                    assert count == 1, f'{key} was acknowledged and is lost'
                if isinstance(error, errors.RefusedError):
                    assert count == 0, f'{key} was refused and is there'

    def teardown(self) -> None:
        async def stop() -> None:
            for process in self.processes:
                await process.stop()

        self.runner.run(stop())
        self.runner.close()


class HistoryTest(unittest.TestCase):
    """Run the machine with a fixed seed."""

    def test_random_histories(self) -> None:
        stateful.run_state_machine_as_test(
            HistoryMachine,
            settings=hypothesis.settings(
                max_examples=40,
                stateful_step_count=30,
                deadline=None,
                derandomize=True,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )


if __name__ == '__main__':
    unittest.main()
