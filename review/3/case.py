"""A sim server's host is asked for work while a long answer flows from it; it must not be clear before the end."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.case import NotRunError, has_trouble, run  # noqa: E402
from harness.clients import encode_get  # noqa: E402
from harness.http import Request, read_response  # noqa: E402
from harness.ingress import ROOT, IngressProcess, free_port  # noqa: E402
from harness.platform import Counter, Discovery  # noqa: E402
from harness.record import Record  # noqa: E402
from harness.servers import SimServer  # noqa: E402
from harness.settings import build_settings  # noqa: E402

INGRESSES = 3
SERVERS = 6
ANSWER_BYTES = 24_000_000  # the page: up to 32 MB
PIECE_BYTES = 400_000  # that the sim server gives at a time
PIECE_SECONDS = 0.4  # between two pieces: 1 MB a second, 24 s for all of it
ASK_AFTER_SECONDS = 3.0  # from the begin of the answer until the host is asked for
CLEAR_WITHIN_SECONDS = 50.0

OPERATOR_FILE = """
[control]
listen = "127.0.0.1:{control}"
[members]
fleet = "hall"
listen = "127.0.0.1:{member}"
seeds = [{seeds}]
keys = "{folder}/members.keys"
[consensus]
path = "{folder}/agreed"
[consensus.voters]
{voters}
[maintenance]
out = 1
"""


class LongAnswer:
    """Handler of the sim servers: gives a long answer in pieces until it is whole or its machine is taken away."""

    def __init__(self, record: Record) -> None:
        self.record, self.server_name, self.given = record, "", 0
        self.is_taken_away = False

    async def handle(self, server: SimServer, request: Request, writer: asyncio.StreamWriter) -> None:
        """Give the answer; the machine's end resets the connection."""
        self.server_name = server.name
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
        while self.given < ANSWER_BYTES:
            if self.is_taken_away:
                self.record.write(server.name, f"is taken away after giving {self.given} of {ANSWER_BYTES} bytes")
                writer.transport.abort()
                return
            writer.write(b"x" * PIECE_BYTES)
            await writer.drain()
            self.given += PIECE_BYTES
            await asyncio.sleep(PIECE_SECONDS)

    @property
    def is_flowing(self) -> bool:
        """Whether a part of the answer is given and the rest is not."""
        return 0 < self.given < ANSWER_BYTES and not self.is_taken_away


class ControlApi:
    """The control API of one ingress, as an operator calls it."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port

    async def call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Make one call and return the decoded answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            response = await asyncio.wait_for(read_response(reader), 6.0)
        finally:
            writer.close()
        answer: dict[str, Any] = json.loads(response.body)
        if method == "POST":
            self.record.write("operator", f"{method} {path} {body} -> {response.status} {answer}")
        return answer


async def take(record: Record, address: tuple[str, int]) -> int:
    """Ask one ingress for the long answer, take it as fast as it comes, and return how many bytes came."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(encode_get("7c1f03aa5c7e2d41", "load-sim", "county", 7, 4000, INGRESSES))
    record.write("client", "sent 7c1f03aa5c7e2d41")
    head = await reader.readuntil(b"\r\n\r\n")
    record.write("client", f"head: {head.splitlines()[0].decode()}")
    taken = 0
    try:
        while taken < ANSWER_BYTES and (data := await reader.read(65536)):
            taken += len(data)
    except OSError as error:
        record.write("client", f"the connection broke: {type(error).__name__}")
    record.write("client", f"got {taken} of {ANSWER_BYTES} bytes")
    writer.close()
    return taken


async def do_work(record: Record, api: ControlApi, answer: LongAnswer) -> str:
    """Ask for the host that gives the answer, begin work once it is clear, and take the machine away."""
    await api.call("POST", "/v1/work", {"id": "host-1", "by": "operator", "servers": [answer.server_name]})
    state, began = "", record.now()
    while record.now() < began + CLEAR_WITHIN_SECONDS:
        found = await api.call("GET", "/v1/work/host-1")
        if found["state"] != state:
            state = found["state"]
            record.write("operator", f"host-1 is {state}, given {answer.given}, missing {found['missing']}")
        if state == "clear":
            break
        await asyncio.sleep(0.1)
    else:
        raise NotRunError(f"host-1 is {state} after {CLEAR_WITHIN_SECONDS:g} s")
    was_flowing, given = answer.is_flowing, answer.given
    begun = await api.call("POST", "/v1/work/host-1/begin", {"token": found["token"]})
    if begun.get("state") != "at work":
        raise NotRunError(f"work did not begin: {begun}")
    answer.is_taken_away = was_flowing
    return f"{answer.server_name} was clear and work began when it had given {given} bytes" if was_flowing else ""


async def scenario(record: Record) -> str:
    """Start three ingresses that agree on work, take a long answer, and have its server's host taken out."""
    discovery, counter, answer = Discovery(record), Counter(), LongAnswer(record)
    await discovery.start()
    await counter.start()
    for number in range(SERVERS):
        server = SimServer(f"sim-{number}", record, handler=answer.handle)
        await server.start()
        discovery.add(server.name, server.address, cell=number // 3)
    key = subprocess.run(
        [ROOT / ".venv/bin/python", "-m", "brackenpulley", "members", "keys", "make"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    ).stdout
    if not key.strip():
        raise NotRunError("no key was made: is requirements-fleet.txt installed?")
    members, controls = [free_port() for _ in range(INGRESSES)], [free_port() for _ in range(INGRESSES)]
    ingresses = []
    fault, taken = "", 0
    try:
        for number in range(INGRESSES):
            ingress = IngressProcess(record, f"n{number}", build_settings(INGRESSES, number), discovery, counter)
            ingresses.append(ingress)
            key_file, operator_file = ingress.folder / "members.keys", ingress.folder / "operator.toml"
            key_file.write_text(key, encoding="utf-8")
            key_file.chmod(0o600)
            operator_file.write_text(
                OPERATOR_FILE.format(
                    control=controls[number],
                    member=members[number],
                    seeds=", ".join(f'"127.0.0.1:{port}"' for port in members),
                    folder=ingress.folder,
                    voters="\n".join(f'n{n} = "127.0.0.1:{port}"' for n, port in enumerate(members)),
                ),
                encoding="utf-8",
            )
            ingress.environment["BALANCER_OPERATOR"] = str(operator_file)
            ingress.start()
        for ingress in ingresses:
            if not await ingress.wait_ready():
                raise NotRunError(f"{ingress.name} did not get ready")
        taking = asyncio.ensure_future(take(record, ingresses[0].address))
        await asyncio.sleep(ASK_AFTER_SECONDS)
        if not answer.is_flowing:
            raise NotRunError("the answer does not flow")
        if has_trouble():
            fault = await do_work(record, ControlApi(record, controls[1]), answer)
        taken = await taking
        record.write("verdict", f"{answer.server_name} gave {answer.given}, the client got {taken} of {ANSWER_BYTES}")
    finally:
        for ingress in ingresses:
            ingress.end()
    if taken < ANSWER_BYTES:
        return f"{fault or 'no work was asked for'}; the client got {taken} of {ANSWER_BYTES} bytes"
    return ""


if __name__ == "__main__":
    run(FOLDER, scenario)
