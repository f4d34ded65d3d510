"""Whole events of a text/event-stream (WHATWG HTML, section 9.2)."""

from __future__ import annotations

MAX_EVENT_BYTES = 1024 * 1024

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    """Passes on whole events only and knows the id of the last one."""

    def __init__(self, last_event_id: bytes | None = None) -> None:
        """Start after an event.

        Args:
            last_event_id: Id of the last event that was passed on already.
        """
        self._buffer = b""
        self._last_event_id = last_event_id

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that was passed on."""
        return self._last_event_id

    @property
    def is_overlong(self) -> bool:
        """Whether an event has grown beyond the limit."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def split(self, data: bytes) -> list[tuple[bytes, bytes | None]]:
        """Take in data and return the events that are now whole.

        Returns:
            For each event its bytes and the last event id as of its end. The id
            counts as passed on once `note_passed_on` is called with it.
        """
        self._buffer += data
        whole = []
        while (end := _find_end(self._buffer)) is not None:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            whole.append((event, _event_id(event)))
        return whole

    def note_passed_on(self, event_id: bytes | None) -> None:
        """Note that the caller has been sent an event."""
        if event_id is not None:
            self._last_event_id = event_id


def _find_end(data: bytes) -> int | None:
    ends = [at + len(end) for end in _ENDS if (at := data.find(end)) >= 0]
    return min(ends) if ends else None


def _event_id(event: bytes) -> bytes | None:
    found = None
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and b"\0" not in value:
            found = value.removeprefix(b" ")
    return found
