"""Fencing tokens for the sessions between sidecars and workers."""

import msgspec

# Tokens reserved for the sessions of one sidecar within one epoch.
TOKENS_PER_EPOCH = 65_536
# Tokens that a session gets at first: one for its first calls, and one that
# bars them.
TOKENS_PER_SESSION = 2
# Part of the tokens of an epoch that sessions may use up by raising theirs, so
# that some are left for later sessions.
RAISED_SHARE = 0.5


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


class _SidecarTokens(msgspec.Struct):
    """Hold the sessions of a sidecar, and the tokens of the last one.

    The tokens are counted within the epoch.
    """

    sessions: list[str] = []
    first: int = 0
    end: int = 1


class SessionFences:
    """Assign each session of a sidecar higher tokens than the one before.

    A session covers one incarnation of a worker and one process of its
    sidecar. A worker that starts again forgets the tokens that it has seen;
    the first call of the next session shows it one that bars all calls of
    earlier sessions, also those that are still on their way. Within a session,
    the polls of a silent worker carry a raised token, so that the first that
    another incarnation answers bars all starts of before.
    """

    __slots__ = ('_epoch', '_sidecars')

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._sidecars: dict[str, _SidecarTokens] = {}

    def admit(self, sidecar: str, session: str) -> bool:
        """Record a session; return whether no later one has replaced it."""
        tokens = self._sidecars.setdefault(sidecar, _SidecarTokens())
        sessions = tokens.sessions
        if session not in sessions:
            if sessions and is_earlier(session, sessions[-1]):
                return False
            sessions.append(session)
            tokens.first = tokens.end
            tokens.end += TOKENS_PER_SESSION
        return sessions[-1] == session

    def record_use(self, sidecar: str, token: int) -> None:
        """Reserve another token if a sidecar's session uses its last one."""
        tokens = self._sidecars[sidecar]
        is_last = token + 1 == self.find_token_end(sidecar)
        if is_last and tokens.end < RAISED_SHARE * TOKENS_PER_EPOCH:
            tokens.end += 1

    def find_session(self, sidecar: str) -> str:
        """Return the current session of a sidecar, empty if none is known."""
        tokens = self._sidecars.get(sidecar)
        return tokens.sessions[-1] if tokens else ''

    def find_token(self, sidecar: str) -> int:
        """Return the first token of a sidecar's current session."""
        tokens = self._sidecars.get(sidecar)
        return self._epoch * TOKENS_PER_EPOCH + (tokens.first if tokens else 0)

    def find_token_end(self, sidecar: str) -> int:
        """Return the token after those of a sidecar's current session."""
        tokens = self._sidecars.get(sidecar)
        return self._epoch * TOKENS_PER_EPOCH + (tokens.end if tokens else 0)
