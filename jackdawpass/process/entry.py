"""An entry instance, which connects the components of the process."""

import typing

from twisted.internet import defer

from jackdawpass import clock
from jackdawpass.connection import dialect, platform_api
from jackdawpass.process import (
    control,
    dispatcher,
    events,
    http_api,
    membership,
    operations,
    operator_api,
    policy,
    probing,
    queries,
    sections,
    settings,
)
from jackdawpass.request import claimed_run, model
from jackdawpass.version import catalog


class Entry:
    """One entry instance.

    Parameters
    ----------
    reactor : reactor
        The process's reactor.
    options : EntrySettings
        Settings of the instance.
    entry_policy : Policy
        Decides on targets, limits, hedges and retries.
    """

    def __init__(
        self,
        reactor: typing.Any,
        options: settings.EntrySettings,
        entry_policy: policy.Policy,
    ) -> None:
        self._reactor = reactor
        self._options = options
        self._policy = entry_policy
        self._wire = dialect.JsonDialect(options.zone)
        self._platform = platform_api.HttpPlatformClient(reactor, options.platform_url)
        self._control = control.ControlPlane(
            reactor, self._platform, options, self._on_catalog, self._on_members
        )
        self._dispatcher = dispatcher.Dispatcher(reactor, self._wire, entry_policy)
        self._queries = queries.QueryStarter(
            reactor, self._platform, self._wire, entry_policy, self._dispatcher
        )
        self._prober = probing.Prober(reactor, entry_policy, self._dispatcher)
        self._catalog: catalog.Catalog | None = None
        self._members: membership.MembersView | None = None
        self._operations = operations.Operations(reactor, options)
        self._operations.add_section(sections.PolicySection(entry_policy))
        self._operations.add_section(sections.ControlSection(self._control))

    @property
    def ready(self) -> bool:
        """True if the instance can serve new requests."""
        return self._catalog is not None and not self._operations.draining

    @property
    def unready_reason(self) -> str | None:
        """Reason why the instance is not ready; None if it is ready."""
        if self._operations.draining:
            return "draining"
        return "no_configuration" if self._catalog is None else None

    @property
    def control_status(self) -> control.ControlStatus:
        """State and counters of the control plane."""
        return self._control.status

    @property
    def port(self) -> int:
        """Port on which connections of callers are accepted."""
        return self._operations.port

    @property
    def event_buffer(self) -> events.EventBuffer:
        """Events of this process."""
        return self._operations.events

    @property
    def peer_port(self) -> int:
        """Port on which connections of other entry instances are accepted."""
        return self._control.peer_port

    @property
    def drained(self) -> defer.Deferred[bool]:
        """Deferred that fires after `drain`; False if requests were still running."""
        return self._operations.drained

    def start(self) -> None:
        """Listen for callers and start to fetch the configuration."""
        operator_resources = operator_api.resources(self)
        site = http_api.make_site(
            self, self._options.max_body_bytes, operator_resources
        )
        self._operations.listen(site)
        self._control.start()
        self._prober.start()

    def status(self) -> model.JsonObject:
        """Return the status document."""
        return self._operations.status(self.ready)

    def drain(self) -> None:
        """Shut down gracefully: fail `/readyz`, finish accepted requests and close."""
        self._operations.drain()

    @defer.inlineCallbacks
    def stop(self) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        """Stop listening and close all connections."""
        yield self._control.stop()
        self._prober.stop()
        yield self._operations.stop()
        self._dispatcher.close()
        yield self._platform.close()

    def run(
        self,
        request_id: str,
        service: str,
        query: model.QueryRequest,
        idempotency_key: str | None,
        on_finish: claimed_run.OnFinish,
    ) -> http_api.RunningQuery:
        """Run a query; `on_finish` is called once, possibly before returning."""
        trace = self._operations.accept_request(request_id, service)

        def finish(outcome: http_api.Outcome) -> None:
            trace.finished(outcome)
            on_finish(outcome)

        return self._queries.run(
            request_id, service, query, idempotency_key, finish, trace
        )

    def _on_catalog(self, new_catalog: catalog.Catalog) -> None:
        self._catalog = new_catalog
        self._queries.apply(new_catalog)
        now = clock.monotonic()
        self._policy.apply(now, new_catalog)
        if self._members is not None:
            self._policy.on_members(now, self._members)
        self._dispatcher.apply(new_catalog)
        self._operations.set_configuration_version(new_catalog.version)

    def _on_members(self, view: membership.MembersView) -> None:
        self._members = view
        self._policy.on_members(clock.monotonic(), view)
        if self._catalog is not None:
            self._dispatcher.resize(self._catalog)
