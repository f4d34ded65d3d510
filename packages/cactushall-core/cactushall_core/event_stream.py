"""Splitting of a text/event-stream into events (WHATWG HTML, section 9.2)."""

from __future__ import annotations

MAX_EVENT_BYTES = 1024 * 1024

_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    """Splits a stream into complete events and tracks the last event id."""

    def __init__(self, last_event_id: bytes | None = None) -> None:
        """Start at the beginning of a stream, or after an event.

        Args:
            last_event_id: Id of the last event that has been forwarded already.
        """
        self._buffer = b""
        self._last_event_id = last_event_id

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that has been forwarded."""
        return self._last_event_id

    @property
    def is_overlong(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def split(self, data: bytes) -> list[tuple[bytes, bytes | None]]:
        """Append data and return the events that it completes.

        Args:
            data: The next bytes of the stream.

        Returns:
            For each event its bytes, and its id or None. The id becomes the last
            event id only when the event is recorded as forwarded.
        """
        self._buffer += data
        complete = []
        while (end := _end_of_event(self._buffer)) is not None:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            complete.append((event, _event_id(event)))
        return complete

    def mark_forwarded(self, event_id: bytes | None) -> None:
        """Record the id of an event that has been forwarded to the caller."""
        if event_id is not None:
            self._last_event_id = event_id


def _end_of_event(data: bytes) -> int | None:
    ends = [
        start + len(terminator)
        for terminator in _TERMINATORS
        if (start := data.find(terminator)) >= 0
    ]
    return min(ends) if ends else None


def _event_id(event: bytes) -> bytes | None:
    event_id = None
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and b"\0" not in value:
            event_id = value.removeprefix(b" ")
    return event_id
