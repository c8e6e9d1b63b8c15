"""Minimal HTTP/1.1 server and client on asyncio, with the faults that the cases need."""

import asyncio
import json
import socket
import struct

# Results of a handler in place of a response.
RESET = "reset"  # reset the connection without a response
SILENT = "silent"  # never answer on this connection


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def number(self, name):
        text = self.query.get(name)
        return None if text is None else int(text)

    def json(self):
        return json.loads(self.body)


def reply(status, value=None):
    """Returns a response with a JSON body, or without a body."""
    return status, b"" if value is None else json.dumps(value).encode()


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Serves `handler(request)`, a coroutine that returns a response, RESET or SILENT."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=4 << 20, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                result = await self.handler(request)
                if result == RESET:
                    reset(writer)
                    return
                if result == SILENT:
                    await asyncio.sleep(3600)
                    return
                status, body = result
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Stops listening and resets all connections, as the crash of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)


async def call(method, address, path, host=None, body=None, timeout=3.0):
    """Sends one request on a connection of its own. Returns (status, body), or (0, reason) if no
    whole response arrived."""
    try:
        return await asyncio.wait_for(_call(method, address, path, host, body, timeout), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
        return 0, repr(error)


async def _call(method, address, path, host, body, timeout):
    name, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            f"X-Request-Deadline: {int(timeout * 1000)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = None
        for line in head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.strip().lower() == "content-length":
                length = int(value)
        answer = await (reader.readexactly(length) if length is not None else reader.read())
        return status, answer.decode()
    finally:
        writer.close()
