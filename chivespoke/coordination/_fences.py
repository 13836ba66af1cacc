"""Fencing tokens for the sessions between sidecars and workers."""

# Tokens reserved for the sessions of one sidecar within one epoch.
SESSIONS_PER_EPOCH = 65_536


def format_session(sidecar_incarnation: str, count: int) -> str:
    """Return the identifier of a session of a sidecar's process."""
    return f'{sidecar_incarnation}/{count}'


def is_same_process(session: str, other: str) -> bool:
    """Return whether two sessions are of one process of a sidecar."""
    return session.rpartition('/')[0] == other.rpartition('/')[0]


def is_earlier(session: str, other: str) -> bool:
    """Return whether a session is earlier than another of its process."""
    process, _, count = session.rpartition('/')
    other_process, _, other_count = other.rpartition('/')
    return (
        process == other_process
        and count.isdecimal()
        and other_count.isdecimal()
        and int(count) < int(other_count)
    )


class SessionFences:
    """Assign each session of a sidecar a higher token than the one before.

    A session covers one incarnation of a worker and one process of its
    sidecar. A worker that starts again forgets the tokens that it has seen;
    the first call of the next session shows it one that bars all calls of
    earlier sessions, also those that are still on their way.
    """

    __slots__ = ('_epoch', '_sessions')

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        # The sessions of each sidecar in this epoch, in order.
        self._sessions: dict[str, list[str]] = {}

    def admit(self, sidecar: str, session: str) -> bool:
        """Record a session; return whether no later one has replaced it."""
        sessions = self._sessions.setdefault(sidecar, [])
        if session not in sessions:
            if sessions and is_earlier(session, sessions[-1]):
                return False
            sessions.append(session)
        return sessions[-1] == session

    def find_session(self, sidecar: str) -> str:
        """Return the current session of a sidecar, empty if none is known."""
        sessions = self._sessions.get(sidecar)
        return sessions[-1] if sessions else ''

    def find_token(self, sidecar: str) -> int:
        """Return the token of a sidecar's current session."""
        number = len(self._sessions.get(sidecar, ()))
        return self._epoch * SESSIONS_PER_EPOCH + number
