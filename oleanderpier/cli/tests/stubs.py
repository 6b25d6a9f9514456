"""A tiny fleet of operators' interfaces, for the tests of the commands."""

import asyncio
import threading

from aiohttp import web

from oleanderpier.events import Clock, Ring
from oleanderpier.operators import make_events_answer
from oleanderpier.utils import ManualTimers

STARTED_S = 1_700_000_000.0


class StubHost:
    """What one host answers; tests change the answers by path."""

    def __init__(self, name, wall_s=STARTED_S):
        self.name = name
        self.timers = ManualTimers(wall_s=wall_s)
        self.clock = Clock(self.timers)
        self.ring = Ring(name, 1, self.clock, self.timers, kept=3)
        self.port = 0
        self.answers = {
            "/v1/status": {
                "host": name,
                "incarnation": 1,
                "failure_domain": "duluth",
                "state": "ready",
                "started_s": STARTED_S,
                "versions": {"hosts": {"version": 4, "digest": "00ff"}},
                "refused_documents": [],
                "members": [],
                "backend_servers": [{"name": "e1", "state": "live", "in_flight": 2}],
                "in_progress": 5,
            },
            "/v1/targets": {"host": name, "classes": []},
            "/v1/explain": {
                "chat": "c1",
                "work_class": "review",
                "pool": "m1",
                "owner": "h1",
                "choices": [],
                "chosen": "e1",
            },
        }

    def answer(self, request):
        """Return the answer to a request."""
        if request.path == "/v1/events":
            query = {name: int(value) for name, value in request.query.items()}
            return make_events_answer(self.ring, query["after"], query.get("limit"))
        return self.answers[request.path]


class StubFleet:
    """Serves stub hosts from a thread of its own.

    Args:
        hosts: The stub hosts; each gets a free port.
    """

    def __init__(self, *hosts):
        self.hosts = hosts
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.runners = []

    def __enter__(self):
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self.loop).result()
        return self

    def __exit__(self, *exception):
        asyncio.run_coroutine_threadsafe(self._stop(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _start(self):
        for host in self.hosts:
            await self._start_host(host)
        for host in self.hosts:
            host.answers["/v1/configuration"] = self._describe_hosts(host)

    async def _start_host(self, host):
        async def answer(request):
            value = host.answer(request)
            status = 404 if "fate" in value else 200
            return web.json_response(value, status=status)

        application = web.Application()
        application.router.add_get("/{path:.*}", answer)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self.runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host.port = runner.addresses[0][1]

    async def _stop(self):
        for runner in self.runners:
            await runner.cleanup()

    def _describe_hosts(self, host):
        hosts = [
            {
                "name": each.name,
                "failure_domain": "duluth",
                "address": "127.0.0.1",
                "caller_port": 1,
                "peer_port": 2,
                "operator_port": each.port,
                "state": "live",
            }
            for each in self.hosts
        ]
        return {
            "host": host.name,
            "versions": {},
            "documents": {"hosts": {"version": 4, "hosts": hosts}},
            "refused_documents": [],
        }
