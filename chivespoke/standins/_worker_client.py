"""Reach stand-ins of workers in the same process."""

import typing

from chivespoke import errors
from chivespoke.standins import _worker
from chivespoke import workers

Answer = typing.TypeVar('Answer')


class MemoryWorkerClient(workers.WorkerClient):
    """Reach an agent in the same process; faults may stand between."""

    __slots__ = ('agent', 'reachable', 'lost_answers')

    def __init__(self, agent: _worker.WorkerAgent) -> None:
        self.agent = agent
        self.reachable = True
        # Answers still to lose after the command took effect.
        self.lost_answers = 0

    async def renew(self, renewal: workers.LeaseRenewal) -> workers.Heartbeat:
        self._check_reachable()
        return self._answer(self.agent.renew(renewal))

    async def start(self, command: workers.StartCommand) -> workers.TaskStatus:
        self._check_reachable()
        return self._answer(self.agent.start(command))

    async def stop(self, command: workers.StopCommand) -> workers.TaskStatus:
        self._check_reachable()
        return self._answer(self.agent.stop(command))

    async def checkpoint(
        self, command: workers.CheckpointCommand
    ) -> workers.TaskStatus:
        self._check_reachable()
        return self._answer(self.agent.checkpoint(command))

    async def throttle(
        self, command: workers.ThrottleCommand
    ) -> workers.TaskStatus:
        self._check_reachable()
        return self._answer(self.agent.throttle(command))

    def _check_reachable(self) -> None:
        if not self.reachable:
            raise errors.UnavailableError(
                'reach', self.agent.registration.worker_id, 'cut off'
            )

    def _answer(self, answer: Answer) -> Answer:
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.UnavailableError(
                'answer', self.agent.registration.worker_id, 'answer lost'
            )
        return answer


class MemoryWorkerConnector(workers.WorkerConnector):
    """Make clients of the agents that a test has added."""

    __slots__ = ('clients',)

    def __init__(self) -> None:
        self.clients: dict[str, MemoryWorkerClient] = {}

    def add(self, agent: _worker.WorkerAgent) -> MemoryWorkerClient:
        """Let an agent be reached at its registered address."""
        client = MemoryWorkerClient(agent)
        self.clients[agent.registration.address] = client
        return client

    def connect(self, address: str) -> workers.WorkerClient:
        return self.clients[address]
