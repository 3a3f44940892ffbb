"""Divides a bounded resource among requests of very different sizes."""

import threading


class Budget:
    """An amount of a resource that requests hold parts of; thread-safe.

    A request is granted only a share of what is free (dynamic thresholds;
    Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998). Large
    requests are refused long before small ones, so that no crowd of them keeps
    an ordinary request out. A request that nothing else stands beside is
    granted any amount: its own size has a limit of its own.

    Attributes:
        limit: The amount that requests may hold together.
    """

    def __init__(self, limit: int, share: float = 0.25) -> None:
        self.limit = limit
        self._share = share
        self._lock = threading.Lock()
        self._held = 0

    @property
    def held(self) -> int:
        """Returns the amount that requests hold."""
        return self._held

    def take(self, amount: int) -> bool:
        """Holds an amount; returns False if it is more than may be granted."""
        with self._lock:
            may_grant = self._share * (self.limit - self._held)
            if self._held and amount > may_grant:
                return False
            self._held += amount
            return True

    def give_back(self, amount: int) -> None:
        """Releases an amount that `take` has granted."""
        with self._lock:
            self._held -= amount
