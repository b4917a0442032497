"""The core of one instance, with those who wait for its changes."""

import contextlib
from collections.abc import Callable, Iterable, Iterator

import trio
from loguru import logger

from lagoonstair.config._core import Advance, Core
from lagoonstair.config._faults import InvalidInputError
from lagoonstair.config._log import Entry, History
from lagoonstair.config._messages import Delta, Word
from lagoonstair.config._parse import UnreadableError

Listener = Callable[[Advance], None]


class Local:
    """Passes events to the core and tells of what they change.

    Attributes:
        core: The decisions of this instance.
    """

    def __init__(self, core: Core) -> None:
        self.core = core
        self._listeners: list[Listener] = []
        self._moved = trio.Event()

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener after each step to newer versions."""
        self._listeners.append(listener)

    def learn(self, entries: Iterable[Entry]) -> None:
        """Puts committed entries in force, and tells of each one by one."""
        for entry in entries:
            with self._telling():
                self.core.learn([entry])

    def load(self, history: History) -> None:
        """Puts a committed state in force."""
        with self._telling():
            self.core.load(history)

    def take(self, delta: Delta) -> None:
        """Puts what a peer sent in force, and tells of each entry."""
        if delta.snapshot is not None:
            with self._telling():
                self.core.load(History.from_snapshot(delta.snapshot))
        for content in delta.entries:
            with self._telling():
                self.core.learn([Entry.from_bytes(content)])
        self.core.note_accepted(delta.accepted)

    def hear(self, word: Word) -> None:
        """Takes note of a peer's version."""
        self.core.hear(word)
        self._wake()

    def prove_by_store(self, head: int, asked_at: float) -> None:
        """Takes the head's version, read from the store."""
        self.core.prove_by_store(head, asked_at)
        self._wake()

    def prove_by_peer(self, word: Word, asked_at: float) -> None:
        """Takes a peer's own proof."""
        self.core.prove_by_peer(word, asked_at)
        self._wake()

    def prove_by_majority(self, words: Iterable[Word], asked_at: float) -> bool:
        """Takes the words of peers, and tells whether they are a proof."""
        now = trio.current_time()
        proved = self.core.prove_by_majority(words, asked_at, now)
        self._wake()
        return proved

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Waits until a condition on the core holds."""
        while not holds():
            await self._moved.wait()

    @contextlib.contextmanager
    def _telling(self) -> Iterator[None]:
        """Tells the listeners what a block has put in force.

        An entry that this program can't read stops it at the version before,
        which it may then serve no longer than its proof holds.
        """
        old = self.core.history.configuration
        try:
            yield
        except (InvalidInputError, UnreadableError) as exc:
            logger.error("the log can't be read: {}", exc)
        new = self.core.history.configuration
        if new is not old:
            for listener in self._listeners:
                listener(Advance(old, new))
        self._wake()

    def _wake(self) -> None:
        self._moved.set()
        self._moved = trio.Event()
