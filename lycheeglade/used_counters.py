"""Bounded set of the used ticket counters, with one bit per counter."""

BITS_PER_PAGE = 1024
MAX_PAGES = 4096


class UsedCounters:
    """Bit set of counters in a bounded number of pages.

    When the set exceeds ``MAX_PAGES`` pages, it discards the oldest page, and
    all counters up to the end of that page count as used.
    """

    __slots__ = ("_bits_by_page", "_first_tracked")

    def __init__(self):
        self._bits_by_page: dict[int, int] = {}
        self._first_tracked = 0

    def __contains__(self, counter: int) -> bool:
        if counter < self._first_tracked:
            return True
        page, bit = divmod(counter, BITS_PER_PAGE)
        return bool(self._bits_by_page.get(page, 0) >> bit & 1)

    def add(self, counter: int) -> None:
        """Mark `counter` as used."""
        if counter < self._first_tracked:
            return
        page, bit = divmod(counter, BITS_PER_PAGE)
        self._bits_by_page[page] = self._bits_by_page.get(page, 0) | 1 << bit
        if len(self._bits_by_page) > MAX_PAGES:
            oldest = min(self._bits_by_page)
            del self._bits_by_page[oldest]
            self._first_tracked = (oldest + 1) * BITS_PER_PAGE
