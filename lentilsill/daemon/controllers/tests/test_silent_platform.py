"""Versions come in force although nodes that read the platform get no answers."""

import unittest

from .spread_builders import FakePlatform, PlatformPath, start_node, wait_until

IN_FORCE_S = 2.0
# A push over a link that carries bytes; the second watcher waits 0.5 s with its push.
PUSH_S = 0.3


class SilentPlatformTests(unittest.IsolatedAsyncioTestCase):
    async def start_domain(self, platform, names):
        """Start nodes with a path each; return them by rank, with their paths."""
        paths = {name: PlatformPath(platform) for name in names}
        nodes: list = []
        for name in names:
            seeds = tuple(node.address for node in nodes[:1])
            node = start_node(name, paths[name], seeds, in_force_s=IN_FORCE_S)
            self.addCleanup(node.stop)
            nodes.append(node)
        await wait_until(lambda: all(n.member_names == set(names) for n in nodes))
        await wait_until(lambda: all(n.ctx.board.ready for n in nodes))
        nodes.sort(key=lambda node: node.membership.rank())
        return nodes, [paths[node.ctx.cfg.node] for node in nodes]

    async def check_version_reaches_all(self, platform, nodes):
        await platform.write("slots", {"service": "slots"})
        await wait_until(
            lambda: all(n.documents.rows for n in nodes), timeout_s=IN_FORCE_S
        )

    async def test_version_is_missed_while_both_watchers_get_no_answers(self):
        """Guards against watchers that keep their rank and learn nothing."""
        platform = FakePlatform()
        nodes, paths = await self.start_domain(platform, "abc")
        for path in paths[:2]:
            path.is_silent = True
        await self.check_version_reaches_all(platform, nodes)

    async def test_version_waits_at_the_node_that_reads_for_silent_watchers(self):
        """Guards against a wait for the push of a watcher that gets no answers."""
        platform = FakePlatform()
        nodes, paths = await self.start_domain(platform, "abcdefgh")
        for path in paths[:2]:
            path.is_silent = True
        reader, last = nodes[2], nodes[-1]
        last.distribution._handle_digest = lambda link, theirs: False
        await platform.write("slots", {"service": "slots"})
        await wait_until(lambda: reader.documents.rows, timeout_s=IN_FORCE_S)
        await wait_until(lambda: last.documents.rows, timeout_s=PUSH_S)

    async def test_version_is_missed_while_most_of_a_domain_gets_no_answers(self):
        """Guards against a single substitute that gets no answers either."""
        platform = FakePlatform()
        nodes, paths = await self.start_domain(platform, "abcdef")
        for path in paths[:4]:
            path.is_silent = True
        await self.check_version_reaches_all(platform, nodes)

    async def test_version_is_missed_while_a_watch_waits_on_a_silent_connection(self):
        """Guards against a watch that is given up only after a change is due."""
        platform = FakePlatform()
        nodes, paths = await self.start_domain(platform, "a")
        await wait_until(lambda: platform.waiting_watches)
        paths[0].cut()
        await self.check_version_reaches_all(platform, nodes)

    async def test_restarted_node_does_not_confirm_what_it_has_not_read(self):
        """Guards against an age that counts from the start of a node without reads."""
        platform = FakePlatform()
        nodes, paths = await self.start_domain(platform, "ab")
        for path in paths:
            path.is_silent = True
        silent_path = PlatformPath(platform)
        silent_path.is_silent = True
        ages = [node.distribution.confirmations for node in nodes]
        await wait_until(lambda: all(c.age_s() > IN_FORCE_S / 4 for c in ages))
        started = start_node(
            "c", silent_path, (nodes[0].address,), in_force_s=IN_FORCE_S
        )
        self.addCleanup(started.stop)
        self.assertLess(started.distribution.confirmations.digest().age_ms, 0)
        await wait_until(lambda: all(c.age_s() > IN_FORCE_S for c in ages), 3.0)

    async def test_platform_that_gives_no_answers_gets_bounded_requests(self):
        """Guards against a whole domain that reads during an outage."""
        platform = FakePlatform()
        nodes, paths = await self.start_domain(platform, "abcdefghijk")
        for path in paths:
            path.is_silent = True
            path.request_count = 0
        ages = [node.distribution.confirmations for node in nodes]
        await wait_until(lambda: all(c.age_s() > 2 * IN_FORCE_S for c in ages))
        reading = [path for path in paths if path.request_count]
        self.assertLessEqual(len(reading), 7)
