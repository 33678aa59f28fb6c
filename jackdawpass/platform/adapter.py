"""Adapter of the platform's protocols for the front process."""

import typing

from returns import result

from jackdawpass.connection import ingress
from jackdawpass.platform import callers, decoding, store, target_dialect
from jackdawpass.process.serving import caller_requests, settings


class PlatformAdapter:
    """Adapter of the protocols of callers, targets and the store."""

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
        """Client of the platform's store."""
        return self._store

    @property
    def wire(self) -> target_dialect.TargetDialect:
        """Protocol of the targets."""
        return self._wire

    def set_store_address(self, address: settings.Address) -> None:
        """Connect to the store at another address from now on."""
        self._store.set_address(address.host, address.port)

    def decode_request(
        self, request: ingress.IncomingRequest
    ) -> result.Result[caller_requests.CallerRequest, int]:
        """Decode a caller's request, or return the HTTP status that rejects it."""
        return callers.decode_request(request)

    def encode_outcome(
        self, outcome: caller_requests.Outcome
    ) -> ingress.OutgoingResponse:
        """Encode the outcome of a request as the HTTP response to its caller."""
        return callers.encode_outcome(outcome)

    def encode_forwarded(
        self, encoded: bytes, timeout: float, extra: ingress.Headers
    ) -> bytes:
        """Encode a request that another instance decodes like a caller's request."""
        return callers.encode_forwarded(encoded, timeout, extra)
