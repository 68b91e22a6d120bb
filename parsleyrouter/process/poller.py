"""Epoll poller whose bookkeeping takes constant time per socket."""

import select
from typing import Any

from circuits.core.pollers import EPoll

__all__ = ["SetPoller"]


class SetPoller(EPoll):
    """Poll with epoll and hold readers and writers in sets.

    The library holds them in lists and registers a descriptor again on every change.
    """

    def __init__(self) -> None:
        super().__init__()
        self._read: set[Any] = {self._ctrl_recv}
        self._write: set[Any] = set()

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Watch a descriptor for input."""
        self._targets[fd] = getattr(source, "channel", "*")
        self._read.add(fd)
        self._updateRegistration(fd)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Watch a descriptor for output."""
        self._targets[fd] = getattr(source, "channel", "*")
        self._write.add(fd)
        self._updateRegistration(fd)

    def removeReader(self, fd: Any) -> None:  # noqa: N802
        """Stop watching a descriptor for input."""
        self._read.discard(fd)
        self._updateRegistration(fd)

    def removeWriter(self, fd: Any) -> None:  # noqa: N802
        """Stop watching a descriptor for output."""
        self._write.discard(fd)
        self._updateRegistration(fd)

    def discard(self, fd: Any) -> None:
        """Stop watching a descriptor."""
        self._read.discard(fd)
        self._write.discard(fd)
        self._updateRegistration(fd)

    def _updateRegistration(self, fd: Any) -> None:  # noqa: N802
        fileno = fd if isinstance(fd, int) else fd.fileno()
        if fileno < 0:
            self._targets.pop(fd, None)
            return
        mask = select.EPOLLIN if fd in self._read else 0
        if fd in self._write:
            mask |= select.EPOLLOUT
        known = self._map.get(fileno) is fd
        if mask and known:
            self._poller.modify(fileno, mask)
        elif mask:
            self._poller.register(fileno, mask)
            self._map[fileno] = fd
        else:
            self._targets.pop(fd, None)
            if known:
                del self._map[fileno]
                self._poller.unregister(fileno)
