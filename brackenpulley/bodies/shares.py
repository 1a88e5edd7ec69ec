"""One account of the memory for all long bodies, in both directions, and of short answers that are being gathered."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .spool import Folder

LEAST, MOST = 8 << 10, 256 << 10  # bytes that one body may hold ahead of its reader
KEPT_MOST = 1 << 20  # of one body, for another attempt


class Shares:
    """Rows: `held` (short answers not whole yet), `kept` (clients' bodies, for another attempt) and what flows.

    What flows has no count of bytes: each body may run ahead of its reader by an even share of the row, so their sum
    is bounded by the row, or by `LEAST` for each where there are very many. `total` is in bytes."""

    __slots__ = ("held_most", "kept_most", "flow_most", "held", "kept", "flows", "folder", "window")

    def __init__(self, total: int, folder: Folder | None = None) -> None:
        """`folder`: for what is to be kept and has no room here; without it that is not kept."""
        self.held_most, self.kept_most, self.flow_most = total // 2, total // 4, total // 4
        self.held = self.kept = self.flows = 0
        self.folder = folder
        self.window = 0  # bytes that each body may run ahead of its reader
        self._share()

    def _share(self) -> None:
        self.window = min(MOST, max(LEAST, self.flow_most // max(1, self.flows)))

    def begin(self) -> None:
        self.flows += 1
        self._share()

    def end(self) -> None:
        self.flows -= 1
        self._share()

    def keep(self, size: int, whole: int) -> bool:
        """`size` more of a body that is `whole` by now; False, and nothing is counted, where it is not to be kept."""
        if whole > KEPT_MOST or self.kept + size > self.kept_most:
            return False
        self.kept += size
        return True

    def forget(self, size: int) -> None:
        self.kept -= size

    def gathered(self, change: int) -> bool:
        """Bytes of short answers more or less in hand; False where they are too many together."""
        self.held += change
        return self.held <= self.held_most
