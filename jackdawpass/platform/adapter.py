"""All dialects of the platform, as the product's process needs them."""

import typing

from returns import result

from jackdawpass.connection import ingress
from jackdawpass.platform import callers, decoding, store, target_dialect
from jackdawpass.process.serving import gateway, settings


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

    def set_store_address(self, address: settings.Address) -> None:
        """Use the store at another address from now on."""
        self._store.set_address(address.host, address.port)

    def decode_request(
        self, request: ingress.IncomingRequest
    ) -> result.Result[gateway.CallerRequest, int]:
        """Return the product's form of a request, or the status that refuses it."""
        return callers.decode_request(request)

    def encode_outcome(self, outcome: gateway.Outcome) -> ingress.OutgoingResponse:
        """Return the answer to a caller."""
        return callers.encode_outcome(outcome)

    def encode_forwarded(
        self, encoded: bytes, timeout: float, extra: ingress.Headers
    ) -> bytes:
        """Return a request to forward as another instance takes it from a caller."""
        return callers.encode_forwarded(encoded, timeout, extra)
