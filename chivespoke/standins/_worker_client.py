"""Clients of simulated worker agents in the same process."""

import typing

from chivespoke import errors
from chivespoke.standins import _worker
from chivespoke import workers

Answer = typing.TypeVar('Answer')


class MemoryWorkerClient(workers.WorkerClient):
    """Call an agent in the same process, with injected network faults."""

    __slots__ = ('agent', 'reachable', 'ended', 'lost_answers')

    def __init__(self, agent: _worker.WorkerAgent) -> None:
        self.agent = agent
        self.reachable = True
        # Whether the agent is gone for good.
        self.ended = False
        # Number of answers still to drop after the command took effect.
        self.lost_answers = 0

    async def renew(self, renewal: workers.LeaseRenewal) -> workers.Heartbeat:
        self._check_reachable()
        return self._deliver(self.agent.renew(renewal))

    async def start(self, command: workers.StartCommand) -> workers.TaskStatus:
        self._check_reachable()
        return self._deliver(self.agent.start(command))

    async def stop(self, command: workers.StopCommand) -> workers.TaskStatus:
        self._check_reachable()
        return self._deliver(self.agent.stop(command))

    async def checkpoint(
        self, command: workers.CheckpointCommand
    ) -> workers.TaskStatus:
        self._check_reachable()
        return self._deliver(self.agent.checkpoint(command))

    async def throttle(
        self, command: workers.ThrottleCommand
    ) -> workers.TaskStatus:
        self._check_reachable()
        return self._deliver(self.agent.throttle(command))

    def _check_reachable(self) -> None:
        if self.ended or not self.reachable or self.agent.crashed:
            raise errors.UnavailableError(
                'reach',
                self.agent.registration.worker_id,
                'unreachable (injected fault)',
            )

    def _deliver(self, answer: Answer) -> Answer:
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.UnavailableError(
                'answer',
                self.agent.registration.worker_id,
                'answer lost (injected fault)',
            )
        return answer


class MemoryWorkerConnector(workers.WorkerConnector):
    """Return the clients of the agents that were added."""

    __slots__ = ('clients',)

    def __init__(self) -> None:
        self.clients: dict[str, MemoryWorkerClient] = {}

    def add(self, agent: _worker.WorkerAgent) -> MemoryWorkerClient:
        """Make an agent reachable at its registered address."""
        client = MemoryWorkerClient(agent)
        self.clients[agent.registration.address] = client
        return client

    def connect(self, address: str) -> workers.WorkerClient:
        return self.clients[address]
