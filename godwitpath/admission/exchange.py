"""Tells the peers of promises, so that a refused caller may come back to any entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

from godwitpath.admission.decide import Admission
from godwitpath.admission.promises import Promise, PromiseNews
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport

TELL_INTERVAL_S = 0.2
"""Time between two rounds of telling; promises fall due a second later at the earliest."""

MAX_PEERS = 15
"""Most peers that are told; with more entries a promise is kept at some of them only."""

MAX_TOLD = 512
"""Most promises told of one service in a round."""


@peer_message
class PromiseNotice(PeerMessage):
    """Promises of one service that were made and redeemed.

    :ivar made: digest and time left until it falls due, for each new promise
    :ivar redeemed: digests of promises whose callers came
    """

    service: str
    made: list[tuple[str, float]] = []
    redeemed: list[str] = []


class PromiseExchange:
    """Exchanges promises of every service with the peers.

    :ivar admission: returns the admission to a service
    """

    def __init__(
        self,
        admissions: Callable[[], Mapping[str, Admission]],
        admission: Callable[[str], Admission],
    ) -> None:
        self._admissions = admissions
        self._admission = admission
        self.told = 0
        self.heard = 0

    async def run(self, transport: PeerTransport, live: Callable[[], Sequence[str]]) -> None:
        """Tell the peers of news until cancelled.

        :param live: names of the other entries that membership holds alive
        """
        loop = asyncio.get_running_loop()

        async def hear(sender: str, notice: PromiseNotice) -> None:
            # Clocks differ between entries, so what is told is the time left.
            made = [Promise(digest, loop.time() + left_s) for digest, left_s in notice.made]
            self._admission(notice.service).promises.hear(PromiseNews(made, notice.redeemed))
            self.heard += 1

        transport.handle(PromiseNotice, hear)
        while True:
            await asyncio.sleep(TELL_INTERVAL_S)
            for notice in self._notices(loop.time()):
                for peer in sorted(live())[:MAX_PEERS]:
                    await transport.send(peer, notice)
                self.told += 1

    def _notices(self, now_s: float) -> list[PromiseNotice]:
        notices = []
        for service, admission in self._admissions().items():
            news = admission.promises.take_news()
            if news:
                made = [(one.digest, one.due_s - now_s) for one in news.made[:MAX_TOLD]]
                notices.append(PromiseNotice(service, made, news.redeemed[:MAX_TOLD]))
        return notices
