"""A caller of external authorisation over gRPC: one Check call at a time on one HTTP/2 connection."""

from __future__ import annotations

import asyncio

import h2.config
import h2.connection
import h2.events
from envoy.service.auth.v3 import external_auth_pb2

from .platform import Address


class Checker:
    """A connection to the second front."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._protocol = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
        self._protocol.initiate_connection()
        self._flush()

    @classmethod
    async def open(cls, address: Address) -> Checker:
        """Connect."""
        return cls(*await asyncio.open_connection(*address))

    def _flush(self) -> None:
        self._writer.write(self._protocol.data_to_send())

    async def check(self, path: str, headers: dict[str, str], seconds: float = 4.0) -> tuple[int, str]:
        """Ask about a request; return the gRPC status of the verdict (0: allowed) and the endpoint it names."""
        request = external_auth_pb2.CheckRequest()
        http = request.attributes.request.http
        http.method, http.path, http.id = "GET", path, headers["x-request-id"]
        for name, value in headers.items():
            http.headers[name] = value
        body = request.SerializeToString()
        stream = self._protocol.get_next_available_stream_id()
        self._protocol.send_headers(
            stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", "/envoy.service.auth.v3.Authorization/Check"),
                (":authority", "checks"),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
                ("grpc-timeout", f"{int(seconds * 1000)}m"),
            ],
        )
        self._protocol.send_data(stream, b"\0" + len(body).to_bytes(4, "big") + body, end_stream=True)
        self._flush()
        data, status = b"", -1
        async with asyncio.timeout(seconds + 1.0):
            while True:
                received = await self._reader.read(65536)
                if not received:
                    raise ConnectionResetError("the connection ended without a verdict")
                for event in self._protocol.receive_data(received):
                    if isinstance(event, h2.events.DataReceived):
                        data += event.data
                        self._protocol.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    elif isinstance(event, h2.events.TrailersReceived | h2.events.ResponseReceived):
                        status = int(dict(event.headers).get("grpc-status", status))
                    elif isinstance(event, h2.events.StreamEnded) and event.stream_id == stream:
                        self._flush()
                        if status:
                            return status, ""
                        verdict = external_auth_pb2.CheckResponse.FromString(data[5:])
                        named = {h.header.key: h.header.value for h in verdict.ok_response.headers}
                        return verdict.status.code, named.get("x-envoy-original-dst-host", "")
                self._flush()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
