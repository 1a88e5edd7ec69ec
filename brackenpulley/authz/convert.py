"""External authorisation's messages to ours and back. Nothing is decided here."""

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

CHECK = "/envoy.service.auth.v3.Authorization/Check"
CheckRequest, CheckResponse = external_auth_pb2.CheckRequest, external_auth_pb2.CheckResponse
HttpRequest = attribute_context_pb2.AttributeContext.HttpRequest
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+\Z")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
FIXED = HOP_BY_HOP_HEADERS | {b"x-request-id", b"idempotency-key"}  # these pass through as the client wrote them
GRPC_OF = {
    403: http2.PERMISSION_DENIED,
    401: http2.PERMISSION_DENIED,
    429: http2.RESOURCE_EXHAUSTED,
    503: http2.UNAVAILABLE,
}
Row = tuple[bytes, bytes]


def http_headers(http: Any) -> dict[str, str]:
    """By lower-case name, from whichever of the two forms the asker fills."""
    found = {name.lower(): value for name, value in http.headers.items()}
    for row in http.header_map.headers:
        found[row.key.lower()] = row.value or row.raw_value.decode("latin-1")
    return found


def message_of(data: bytes, left: float) -> Message:
    """A CheckRequest's bytes as a message. Raises MessageError."""
    try:
        check = CheckRequest.FromString(data)
    except Exception as error:  # protobuf's DecodeError is not the same class in all its implementations
        raise MessageError(f"CheckRequest: {error}") from None
    http = check.attributes.request.http
    headers = http_headers(http)
    headers.setdefault("x-request-id", http.id)
    headers.setdefault("x-timeout", f"{max(0, int(left * 1e6))}u")
    found = decode(headers, http.path, http)
    found.timeout = max(
        0.0, min(found.timeout, left - ANSWER_MARGIN_SECONDS)
    )  # the asker's deadline holds beside the client's
    return found


def _rows(headers: list[Row]) -> list[Any]:
    overwrite = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
    return [
        base_pb2.HeaderValueOption(
            append_action=overwrite,
            header=base_pb2.HeaderValue(key=name.decode("latin-1"), value=value.decode("latin-1")),
        )
        for name, value in headers
    ]


def response_of(answer: Answer, endpoint: str, header: str) -> bytes:
    """A final answer as a CheckResponse."""
    reply = CheckResponse()
    if answer.kind == "granted":
        reply.status.CopyFrom(status_pb2.Status(code=http2.OK))
        reply.ok_response.headers.extend(_rows([(header.encode(), endpoint.encode())]))
    else:
        code = GRPC_OF.get(answer.status, http2.INTERNAL)
        reply.status.CopyFrom(status_pb2.Status(code=code, message=answer.kind))
        reply.denied_response.status.code = answer.status
        if answer.retry_after > 0:
            reply.denied_response.headers.extend(_rows([(b"retry-after", b"%.3f" % answer.retry_after)]))
        if answer.payload is not None:
            body, headers = answer.payload
            reply.denied_response.body = body.decode("utf-8", "replace")
            reply.denied_response.headers.extend(_rows(headers))
    return bytes(reply.SerializeToString())


def request_of(message: Message) -> bytes:
    """What an authoriser is asked about a message of either front."""
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


def _clean(options: Any, fixed: frozenset[bytes]) -> list[Row]:
    """Header rows that may stand in HTTP/1.1: an authoriser's bytes must not end a header early."""
    rows = []
    for option in list(options)[:64]:
        name = option.header.key.lower().encode("latin-1", "replace")
        value = option.header.value.encode("latin-1", "replace") or option.header.raw_value
        if TOKEN.match(name) and VALUE.match(value) and name not in fixed and len(value) <= 4096:
            rows.append((name, value))
    return rows


def _amend(rows: list[Row], removed: set[bytes]) -> Callable[[Any], Any]:
    def change(payload: Any) -> Any:
        if not isinstance(payload, Payload):
            return payload
        gone = removed | {name for name, _ in rows}
        return replace(payload, headers=[row for row in payload.headers if row[0] not in gone] + rows)

    return change


def verdict_of(data: bytes) -> Verdict | None:
    """An authoriser's CheckResponse; None if it is none."""
    try:
        reply = CheckResponse.FromString(data)
    except Exception:  # as above
        return None
    if reply.status.code == http2.OK and reply.WhichOneof("http_response") != "denied_response":
        rows = _clean(reply.ok_response.headers, FIXED)
        removed = {n.lower().encode("latin-1", "replace") for n in reply.ok_response.headers_to_remove} - FIXED
        return Verdict("allow", amend_payload=_amend(rows, removed) if rows or removed else None)
    denied = reply.denied_response
    status = int(denied.status.code)
    if not 400 <= status <= 599:  # a denial that looks like a served answer would be taken for one
        status = 403
    return Verdict("deny", status, (denied.body.encode()[:65536], _clean(denied.headers, HOP_BY_HOP_HEADERS)))
