"""Converts between the messages of the external authorisation API and the types of the core.

The client and the server of the API use it.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import attribute_context_pb2, external_auth_pb2
from google.rpc import status_pb2

from ..core.exchange import Answer, Verdict
from ..core.message import ANSWER_MARGIN_SECONDS, Message, MessageError, decode
from ..net.http import HOP_BY_HOP_HEADERS, Payload
from . import http2

CHECK_PATH = "/envoy.service.auth.v3.Authorization/Check"
CheckRequest, CheckResponse = external_auth_pb2.CheckRequest, external_auth_pb2.CheckResponse
HttpRequest = attribute_context_pb2.AttributeContext.HttpRequest
HEADER_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+\Z")
HEADER_VALUE_PATTERN = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
# An authoriser cannot change these headers of a message.
PROTECTED_HEADERS = HOP_BY_HOP_HEADERS | {b"x-request-id", b"idempotency-key"}
GRPC_STATUS_OF_HTTP = {
    403: http2.PERMISSION_DENIED,
    401: http2.PERMISSION_DENIED,
    429: http2.RESOURCE_EXHAUSTED,
    503: http2.UNAVAILABLE,
}
HeaderField = tuple[bytes, bytes]


def collect_headers(http: Any) -> dict[str, str]:
    """Return the headers by lower-case name, from whichever of the two fields for headers the caller fills."""
    headers = {name.lower(): value for name, value in http.headers.items()}
    for field in http.header_map.headers:
        headers[field.key.lower()] = field.value or field.raw_value.decode("latin-1")
    return headers


def decode_check_request(data: bytes, timeout: float) -> Message:
    """Decode a CheckRequest as a message that is to end within `timeout` seconds. Raises MessageError."""
    try:
        check = CheckRequest.FromString(data)
    except Exception as error:  # the class of protobuf's DecodeError depends on its implementation
        raise MessageError(f"CheckRequest: {error}") from None
    http = check.attributes.request.http
    headers = collect_headers(http)
    headers.setdefault("x-request-id", http.id)
    headers.setdefault("x-timeout", f"{max(0, int(timeout * 1e6))}u")
    message = decode(headers, http.path, http)
    # The earlier of the caller's deadline and the client's applies.
    message.timeout = max(0.0, min(message.timeout, timeout - ANSWER_MARGIN_SECONDS))
    return message


def _encode_headers(headers: list[HeaderField]) -> list[Any]:
    overwrite = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
    return [
        base_pb2.HeaderValueOption(
            append_action=overwrite,
            header=base_pb2.HeaderValue(key=name.decode("latin-1"), value=value.decode("latin-1")),
        )
        for name, value in headers
    ]


def encode_check_response(answer: Answer, endpoint: str, endpoint_header: str) -> bytes:
    """Encode a final answer as a CheckResponse; `endpoint_header` names the header that carries the endpoint."""
    reply = CheckResponse()
    if answer.kind == "granted":
        reply.status.CopyFrom(status_pb2.Status(code=http2.OK))
        reply.ok_response.headers.extend(_encode_headers([(endpoint_header.encode(), endpoint.encode())]))
    else:
        code = GRPC_STATUS_OF_HTTP.get(answer.status, http2.INTERNAL)
        reply.status.CopyFrom(status_pb2.Status(code=code, message=answer.kind))
        reply.denied_response.status.code = answer.status
        if answer.retry_after > 0:
            reply.denied_response.headers.extend(_encode_headers([(b"retry-after", b"%.3f" % answer.retry_after)]))
        if answer.payload is not None:
            body, headers = answer.payload
            reply.denied_response.body = body.decode("utf-8", "replace")
            reply.denied_response.headers.extend(_encode_headers(headers))
    return bytes(reply.SerializeToString())


def encode_check_request(message: Message) -> bytes:
    """Encode the CheckRequest for a message, which an HTTP or a Check request carried."""
    check = CheckRequest()
    http = check.attributes.request.http
    payload = message.payload
    if isinstance(payload, Payload):
        http.id, http.method = message.id, payload.method.decode("latin-1")
        http.path, http.scheme, http.protocol = payload.target.decode("latin-1"), "http", "HTTP/1.1"
        http.size = len(payload.body)
        for name, value in payload.headers:
            http.headers[name.decode("latin-1")] = value.decode("latin-1")
        http.headers["x-timeout"] = f"{int(message.timeout * 1000)}m"
    elif isinstance(payload, HttpRequest):
        http.CopyFrom(payload)
    return bytes(check.SerializeToString())


def _sanitise_headers(options: Any, protected: frozenset[bytes]) -> list[HeaderField]:
    """Return the headers that are valid in HTTP/1.1, so that an authoriser cannot inject headers."""
    fields = []
    for option in list(options)[:64]:
        name = option.header.key.lower().encode("latin-1", "replace")
        value = option.header.value.encode("latin-1", "replace") or option.header.raw_value
        if (
            HEADER_NAME_PATTERN.match(name)
            and HEADER_VALUE_PATTERN.match(value)
            and name not in protected
            and len(value) <= 4096
        ):
            fields.append((name, value))
    return fields


def _make_amend_payload(fields: list[HeaderField], removed: set[bytes]) -> Callable[[Any], Any]:
    def amend_payload(payload: Any) -> Any:
        if not isinstance(payload, Payload):
            return payload
        replaced = removed | {name for name, _ in fields}
        return replace(payload, headers=[field for field in payload.headers if field[0] not in replaced] + fields)

    return amend_payload


def decode_check_response(data: bytes) -> Verdict | None:
    """Decode an authoriser's CheckResponse as a verdict, or return None if it is malformed."""
    try:
        reply = CheckResponse.FromString(data)
    except Exception:  # the class of protobuf's DecodeError depends on its implementation
        return None
    if reply.status.code == http2.OK and reply.WhichOneof("http_response") != "denied_response":
        fields = _sanitise_headers(reply.ok_response.headers, PROTECTED_HEADERS)
        removed = {
            name.lower().encode("latin-1", "replace") for name in reply.ok_response.headers_to_remove
        } - PROTECTED_HEADERS
        return Verdict("allow", amend_payload=_make_amend_payload(fields, removed) if fields or removed else None)
    denied = reply.denied_response
    status = int(denied.status.code)
    if not 400 <= status <= 599:  # the client would take a denial with a status of success for a served answer
        status = 403
    return Verdict(
        "deny", status, (denied.body.encode()[:65536], _sanitise_headers(denied.headers, HOP_BY_HOP_HEADERS))
    )
