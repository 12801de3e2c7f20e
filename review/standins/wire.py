"""HTTP/1.1 for the stand-ins: reads requests and answers, writes plain replies."""
import asyncio
from dataclasses import dataclass, field


@dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes = b""


@dataclass
class Answer:
    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True


def reply(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None, {}
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    out = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        out += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return out


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    line, headers = await read_head(reader)
    if line is None:
        return None
    method, target, _ = line.split(" ", 2)
    return Request(method, target, headers, await read_body(reader, headers))


async def read_answer(reader):
    """Returns None if the connection ended without a byte; raises IncompleteReadError if it ended within an answer."""
    line, headers = await read_head(reader)
    if line is None:
        return None
    status = int(line.split(" ")[1])
    return Answer(status, headers, await read_body(reader, headers))
