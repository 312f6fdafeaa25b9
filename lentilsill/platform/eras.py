"""Eras of the platform's store, as its answers name them."""

from collections.abc import Mapping

import structlog

from lentilsill.versioning import MAX_ERA

__all__ = ["StoreEras"]

ERA_HEADER = "Store-Era"
MAX_LOGGED_CHARS = 40
# Python refuses to convert texts of more than 4,300 digits to integers. Leading zeros
# are allowed up to this length.
MAX_ERA_CHARS = 40

log = structlog.get_logger()


class StoreEras:
    """Latest era that an answer has named.

    A store that names none has era 0. An answer whose era can't be read counts for the
    latest one.

    Examples
    --------
    >>> eras = StoreEras()
    >>> eras.read({"Store-Era": "3"}), eras.read({"Store-Era": "2"}), eras.latest
    (3, 2, 3)
    >>> eras.read({})
    3
    """

    def __init__(self) -> None:
        self.latest = 0
        self._has_logged = False

    def read(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer, and remember it if it is the latest."""
        text = headers.get(ERA_HEADER, "").strip()
        is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_CHARS
        if not is_number or int(text) > MAX_ERA:
            if text and not self._has_logged:
                self._has_logged = True
                log.warning("store_era_unreadable", value=text[:MAX_LOGGED_CHARS])
            return self.latest
        era = int(text)
        if era > self.latest:
            if self.latest:
                log.warning("store_era_changed", era=era, before=self.latest)
            self.latest = era
        return era
