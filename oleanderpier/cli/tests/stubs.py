"""A tiny fleet of operators' interfaces, for the tests of the commands."""

import asyncio
import threading

from aiohttp import web
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from oleanderpier.events import Clock, EventBuffer
from oleanderpier.operators import make_events_answer, make_operator_app
from oleanderpier.results import Code, Failure
from oleanderpier.utils import ManualTimers

STARTED_S = 1_700_000_000.0
WORK_CLASS = {
    "name": "review",
    "kind": "engine",
    "needs": "m1",
    "repeatable": True,
    "first_token_s": 1.6,
    "between_tokens_s": 0.049,
    "whole_s": 60.0,
}
CONFIGURATION = {
    "version": 1,
    "classes": [WORK_CLASS],
    "workspaces": [],
    "load_multiple": 1.25,
}


class StubHost:
    """What one host reports; tests change the answers."""

    def __init__(self, name, wall_s=STARTED_S):
        self.name = name
        self.timers = ManualTimers(wall_s=wall_s)
        self.clock = Clock(self.timers)
        self.ring = EventBuffer(name, 1, self.clock, self.timers, capacity=3)
        self.port = 0
        self.status = {
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
        }
        self.targets = {"host": name, "classes": []}
        self.configuration = {}
        self.explanation = {
            "chat": "c1",
            "work_class": "review",
            "pool": "m1",
            "owner": "h1",
            "choices": [],
            "chosen": "e1",
        }

    def report_status(self):
        """Return the state of the host."""
        return self.status

    def report_targets(self):
        """Return targets and what was measured."""
        return self.targets

    def report_configuration(self):
        """Return the documents in force."""
        return self.configuration

    def report_events(self, after, limit):
        """Return events of the host's ring."""
        return make_events_answer(self.ring, after, limit)

    def explain(self, chat, work_class):
        """Return where a chat goes; there is one class."""
        if work_class != WORK_CLASS["name"]:
            return Error(Failure(Code.CLASS_UNKNOWN, f"no class {work_class!r}"))
        return Ok(self.explanation)


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
            host.configuration = self._describe_hosts(host)

    async def _start_host(self, host):
        app = make_operator_app(host, CollectorRegistry())
        runner = web.AppRunner(app, access_log=None)
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
            "documents": {
                "hosts": {"version": 4, "hosts": hosts},
                "configuration": CONFIGURATION,
            },
            "refused_documents": [],
        }
