"""Builders of announcements for tests."""

from dataclasses import replace

from lentilsill.membership import (
    Accepted,
    Announcement,
    AnnouncementOrder,
    CheckedUpstream,
    HostUpstream,
    UpstreamRecord,
    UpstreamState,
    Verdict,
)

__all__ = ["ADDRESS", "Play", "announce"]

ADDRESS = "127.0.0.1:9"
TIMEOUT_S = 6.0


def announce(
    upstream: str = "w1",
    started_ms: int | None = 1000,
    sequence: int = 1,
    state: str = "READY",
    service: str = "a",
    address: str = ADDRESS,
) -> Announcement:
    """Return an announcement of an upstream with six slots."""
    record = UpstreamRecord(upstream, service, address, 6, (), UpstreamState[state])
    return Announcement(record, started_ms, sequence)


class Play:
    """An `AnnouncementOrder`, with the upstream that is in use after each verdict."""

    def __init__(self, has_health_checks: bool = True) -> None:
        self.order = AnnouncementOrder()
        self.host = HostUpstream("a", ADDRESS, TIMEOUT_S, has_health_checks)
        self.in_use: UpstreamRecord | None = None
        self.now = 0.0

    @property
    def used(self) -> tuple[str, str] | None:
        """Id and state of the upstream in use."""
        rec = self.in_use
        return None if rec is None else (rec.upstream, rec.state.name)

    def say(self, check=None, **fields):
        """Judge an announcement; an accepted one comes in use."""
        new = announce(**fields)
        verdict = self.order.judge(new, self.host, self.in_use, self.now, check)
        if isinstance(verdict, Accepted):
            self.in_use = new.record
        return verdict

    def objection_to(self, check=None, **fields):
        """Judge an announcement, and return why it does not count."""
        verdict = self.say(check, **fields)
        return None if isinstance(verdict, Accepted) else verdict.objection

    def delete(
        self,
        upstream: str = "w1",
        started_ms: int | None = None,
        wall_ms: int = 100_000,
        check: CheckedUpstream | None = None,
    ) -> Verdict:
        """Judge a deletion; an accepted one ends the use of the upstream."""
        verdict = self.order.judge_deletion(
            upstream, started_ms, self.host, self.in_use, self.now, wall_ms, check
        )
        is_accepted = isinstance(verdict, Accepted)
        if is_accepted and self.in_use and self.in_use.upstream == upstream:
            self.in_use = None
        return verdict

    def mark_leaving(self, started_ms: int) -> None:
        """Let the upstream in use say in an answer that it leaves."""
        assert self.in_use is not None
        self.order.mark_leaving(self.in_use.upstream, started_ms)
        self.in_use = replace(self.in_use, state=UpstreamState.LEAVING)

    def say_each_second(
        self, count: int, first_sequence: int = 1, **fields
    ) -> list[Verdict]:
        """Judge announcements with rising sequences, one in each second."""
        verdicts = []
        for sequence in range(first_sequence, first_sequence + count):
            verdicts.append(self.say(sequence=sequence, **fields))
            self.now += 1.0
        return verdicts
