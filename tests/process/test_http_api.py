"""Tests of the HTTP resources that do not run queries."""

import json

import pytest
from twisted.web import server
from twisted.web.test import requesthelper

from jackdawpass.process import http_api


class PageResource(http_api.LeafResource):
    def render_GET(self, request: server.Request) -> bytes:
        return http_api.render(request, 200, {"page": 1})


def send_request(method: bytes) -> tuple[requesthelper.DummyRequest, dict[str, object]]:
    request = requesthelper.DummyRequest([b""])
    request.method = method
    body = PageResource().render(request)  # type: ignore[arg-type]
    assert isinstance(body, bytes)
    return request, json.loads(body)


def test_known_method_is_served() -> None:
    """Guards against refusing a method that the resource supports."""
    request, document = send_request(b"GET")
    assert request.responseCode == 200 and document == {"page": 1}


@pytest.mark.parametrize("method", [b"POST", b"DELETE", b"BREW"])
def test_other_methods_are_refused_by_a_problem_document(method: bytes) -> None:
    """Guards against an HTML page where callers expect a problem document."""
    request, document = send_request(method)
    assert request.responseCode == 405
    assert document["kind"] == "method_not_allowed"
    assert request.responseHeaders.getRawHeaders("Allow") == ["GET, HEAD"]
