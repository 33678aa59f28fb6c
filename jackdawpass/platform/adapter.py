"""All dialects of the platform, as the product's process needs them."""

import typing

from returns import result

from jackdawpass.connection import ingress
from jackdawpass.platform import callers, decoding, store, target_dialect
from jackdawpass.process.serving import gateway, settings


class _Refused:
    """A request that was refused as malformed."""

    def caller_gone(self) -> None:
        """Do nothing."""


class PlatformAdapter:
    """Dialects of callers, targets and the store."""

    configuration_kind = decoding.CONFIGURATION_KIND
    targets_kind = decoding.TARGETS_KIND

    def __init__(self, reactor: typing.Any, options: settings.FrontSettings) -> None:
        address = options.store
        self._store = store.StoreClient(
            reactor, address.host, address.port, decoding.DECODERS
        )
        self._wire = target_dialect.TargetDialect()

    @property
    def store(self) -> store.StoreClient:
        """The platform's store."""
        return self._store

    @property
    def wire(self) -> target_dialect.TargetDialect:
        """Dialect of the targets."""
        return self._wire

    def move_store(self, address: settings.Address) -> None:
        """Use the store at another address from now on."""
        self._store.move(address.host, address.port)

    def serve(
        self,
        request: ingress.IncomingRequest,
        served_by: gateway.Gateway,
        on_answer: ingress.OnAnswer,
    ) -> ingress.Exchange:
        """Serve a caller's request."""
        decoded = callers.decode_request(request)
        if isinstance(decoded, result.Failure):
            on_answer(ingress.OutgoingAnswer(decoded.failure(), (), b""))
            return _Refused()

        def on_outcome(outcome: gateway.Outcome) -> None:
            on_answer(callers.encode_outcome(outcome))

        return served_by.serve(decoded.unwrap(), on_outcome)
