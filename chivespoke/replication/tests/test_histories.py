"""Compare states after random histories and faults with a full replay."""

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

RETENTION_SECONDS = 150.0
PROCESS_COUNT = 3


class RecordingLog(standins.MemoryLog):
    """Record every stored payload, including expired ones."""

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__(clock, RETENTION_SECONDS)
        self.history: list[bytes] = []

    def _store(self, stream: str, payload: bytes) -> int:
        self.history.append(payload)
        return super()._store(stream, payload)


class PartitionableLog(replication.Log):
    """Forward to a log unless one process is partitioned from it."""

    def __init__(self, log: replication.Log) -> None:
        self.log = log
        self.is_partitioned = False

    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        if self.is_partitioned:
            raise errors.RefusedError('append', 'log', 'partitioned')
        return await self.log.append(stream, payload)

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> replication.LogPage:
        if self.is_partitioned:
            raise errors.UnavailableError('read', 'log', 'partitioned')
        return await self.log.read(stream, start, limit, wait_seconds)


def replay_from_start(history: list[bytes]) -> dict[str, int]:
    """Return the state after replaying all payloads from offset 0."""
    fold = builders.SumFold()
    last: dict[str, int] = {}
    for offset, payload in enumerate(history):
        frame = replication.decode_frame(payload, 'full replay')
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
    """Commit, inject faults, pause, partition and replace in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = clocks.ManualClock()
        self.log = RecordingLog(self.clock)
        self.connections: list[PartitionableLog] = []
        self.processes: list[builders.Process] = []
        self.incarnation_count = 0
        self.reached_offsets = [0] * PROCESS_COUNT
        # The outcome of each committed record, by its key.
        self.futures: dict[str, asyncio.Future[identifiers.Offset]] = {}
        for process_index in range(PROCESS_COUNT):
            self.connections.append(PartitionableLog(self.log))
            self.processes.append(self.runner.run(self.start(process_index)))

    async def start(self, process_index: int) -> builders.Process:
        self.incarnation_count += 1
        process = builders.Process(
            self.connections[process_index],
            self.clock,
            f'life-{self.incarnation_count}',
            retention=RETENTION_SECONDS,
        )
        peer = self.processes[process_index - 1] if self.processes else None
        if peer is not None and len(self.processes) == PROCESS_COUNT:
            process.follower.relay = test_snapshots.PeerRelay(peer)
        await process.start()
        await builders.run_ready_tasks()
        return process

    async def replace(self, process_index: int) -> None:
        await self.processes[process_index].stop()
        self.reached_offsets[process_index] = 0
        self.processes[process_index] = await self.start(process_index)

    @stateful.rule(
        process_index=strategies.integers(0, PROCESS_COUNT - 1),
        lost_answers=strategies.integers(0, 2),
        duplicates=strategies.integers(0, 1),
        seconds=strategies.sampled_from((0.0, 0.5, 3.0)),
    )
    def commit(
        self,
        process_index: int,
        lost_answers: int,
        duplicates: int,
        seconds: float,
    ) -> None:
        key = f'key-{len(self.futures)}'
        self.log.faults.lost_answers = lost_answers
        self.log.faults.duplicates = duplicates

        async def run() -> None:
            self.futures[key] = self.processes[process_index].committer.submit(
                builders.STREAM, builders.build_record(key)
            )
            await builders.run_ready_tasks()
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
    def advance_time(self, seconds: float) -> None:
        self.runner.run(
            builders.advance(self.clock, seconds, step=seconds / 40)
        )

    @stateful.rule()
    def pause_all_processes(self) -> None:
        """Advance the clock by a minute while no task runs."""
        self.clock.advance(60.0)
        self.runner.run(builders.run_ready_tasks())

    @stateful.rule(process_index=strategies.integers(0, PROCESS_COUNT - 1))
    def toggle_partition(self, process_index: int) -> None:
        self.connections[process_index].is_partitioned = not self.connections[
            process_index
        ].is_partitioned

    @stateful.rule(process_index=strategies.integers(0, PROCESS_COUNT - 1))
    def replace_one(self, process_index: int) -> None:
        self.runner.run(self.replace(process_index))

    @stateful.rule()
    def replace_all(self) -> None:
        async def run() -> None:
            for process_index in range(PROCESS_COUNT):
                await self.replace(process_index)

        self.runner.run(run())

    @stateful.invariant()
    def states_equal_full_replay(self) -> None:
        for process_index, process in enumerate(self.processes):
            replica = process.replica
            assert replica.divergence is None
            if not replica.is_ready:
                assert process.follower.last_read_at is None or (
                    self.reached_offsets[process_index] <= replica.next_offset
                )
                continue
            assert replica.next_offset >= self.reached_offsets[process_index]
            self.reached_offsets[process_index] = replica.next_offset
            expected = replay_from_start(
                self.log.history[: replica.next_offset]
            )
            assert replica.fold.sums == expected, (replica.next_offset,)

    @stateful.invariant()
    def acknowledged_records_apply_exactly_once(self) -> None:
        state = replay_from_start(self.log.history)
        for key, future in self.futures.items():
            count = state.get(key, 0)
            assert count <= 1, f'{key} took effect {count} times'
            if future.done() and not future.cancelled():
                error = future.exception()
                if error is None:
                    assert count == 1, f'{key} was acknowledged but is lost'
                if isinstance(error, errors.RefusedError):
                    assert count == 0, f'{key} was refused but took effect'

    def teardown(self) -> None:
        async def stop() -> None:
            for process in self.processes:
                await process.stop()

        self.runner.run(stop())
        self.runner.close()


class HistoryTest(unittest.TestCase):
    """Run the state machine with a fixed seed."""

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
