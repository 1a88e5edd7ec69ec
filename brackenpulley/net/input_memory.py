"""Accounts for what unanswered requests of all client connections hold in memory, and says when it is too much.

A connection holds what it has received of a request that is not whole, whole requests that wait for their turn, and
the body of the one in progress. The bytes of long bodies that flow count here as far as they are held. `North` records
what each connection holds, and makes room while the limit is exceeded.
"""

from __future__ import annotations

from .pool import BUFFER_BYTES

# In objects, beside the bytes on the wire: a header field, and a request.
FIELD_OVERHEAD_BYTES = 150
REQUEST_OVERHEAD_BYTES = 500
# A connection that holds less is no reason for a lack of memory: usual requests without a body hold less.
MIN_RELIEF_BYTES = 4096
MIN_LIMIT_BYTES = 1 << 20


class InputMemory:
    """The account. Sizes are in bytes.

    `is_exceeded`: more is held than the limit. `max_read_bytes`: may be read at once from a connection, less and
    less once half of the limit is used. Both are attributes, as each read looks at them.
    """

    __slots__ = ("limit_bytes", "used_bytes", "is_exceeded", "max_read_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = max(MIN_LIMIT_BYTES, limit_bytes)
        self.used_bytes = 0
        self.is_exceeded = False
        self.max_read_bytes = BUFFER_BYTES

    def change(self, by_bytes: int) -> None:
        """Count that a connection holds more, or less, by so many bytes."""
        self.used_bytes += by_bytes
        left = self.limit_bytes - self.used_bytes
        self.is_exceeded = left < 0
        self.max_read_bytes = BUFFER_BYTES
        if left < self.limit_bytes // 2:
            self.max_read_bytes = min(BUFFER_BYTES, max(MIN_RELIEF_BYTES, left // 4))
