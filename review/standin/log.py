"""Stand-in for the platform's store: topics with appends, reads and the newest record of each key."""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import unquote

from standin.http import RESET, SILENT, Server, reply, reset

APPEND_S = 0.002  # time that a partition takes for an append
ANSWER_S = 0.004  # time to an answer


class Partition:
    def __init__(self):
        self.records = []
        self.producers = {}  # name -> [epoch, next sequence, {sequence: response}]
        self.grown = asyncio.Event()

    @property
    def end(self):
        return len(self.records)

    def append(self, records):
        offset = self.end
        self.records.extend(records)
        if records:
            self.grown.set()
            self.grown = asyncio.Event()
        return {"offset": offset, "end": self.end}


def split(body):
    records, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        records.append(body[at + 4 : at + 4 + length])
        at += 4 + length
    return records


class Log:
    """The store. Each process reaches it through a door of its own, whose `mode` can be changed."""

    def __init__(self):
        self.partitions = {}
        self.slowness = 1.0  # factor on the time to an answer

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes a keyed record; an empty value removes the key."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        self.partition(topic, 0).append([content])

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    async def append(self, request):
        part = self.partition(request.query["topic"], request.number("part"))
        records = split(request.body)
        if request.number("at") is not None and request.number("at") != part.end:
            return reply(412, {"end": part.end})
        name = request.query.get("producer")
        if name is None:
            return reply(200, part.append(records))
        name = unquote(name)
        epoch, sequence = request.number("epoch"), request.number("sequence")
        known = part.producers.get(name)
        if known is not None and epoch < known[0]:
            return reply(409, {"reason": "fenced"})
        if known is None or epoch > known[0]:
            known = part.producers[name] = [epoch, sequence, {}]
        if not records:
            return reply(200, {"offset": part.end, "end": part.end})
        if sequence in known[2]:
            return reply(200, known[2][sequence])
        if sequence != known[1]:
            return reply(409, {"reason": "seq", "sequence": known[1]})
        known[1] = sequence + 1
        known[2][sequence] = part.append(records)
        known[2].pop(sequence - 5, None)
        return reply(200, known[2][sequence])

    async def read(self, request):
        part = self.partition(request.query["topic"], request.number("part"))
        start = request.number("from") or 0
        until = time.monotonic() + (request.number("waitMs") or 0) / 1000
        while part.end <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body, size = [struct.pack(">QQ", part.end, 0)], 0
        for record in part.records[start:]:
            body.append(struct.pack(">I", len(record)) + record)
            size += len(record)
            if size > 1 << 20:
                break
        return 200, b"".join(body)

    def newest(self, request):
        part = self.partition(request.query["topic"], request.number("part"))
        newest = {}
        for offset, record in enumerate(part.records):
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
        ]
        return reply(200, {"items": items, "hasMore": False, "end": part.end})

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S * self.slowness)
        if request.path == "/-/log-append":
            await asyncio.sleep(APPEND_S)
            return await self.append(request)
        if request.path == "/-/log-read":
            return await self.read(request)
        if request.path == "/-/log-newest":
            return self.newest(request)
        return reply(404)

    async def door(self):
        door = Door(self)
        door.server = await Server(door.handle).start()
        return door


class Door:
    """One process's way to the store. `mode` is one of pass, busy (503), silent and reset."""

    def __init__(self, log):
        self.log = log
        self.mode = "pass"
        self.lose = None  # function(request): whether the answer of a request is lost by a reset
        self.server = None
        self.claims_read = b""  # records of the claims that the process has read

    @property
    def address(self):
        return self.server.address

    def set(self, mode):
        self.mode = mode
        if mode in ("silent", "reset"):
            # Requests that wait at the store are cut off, too.
            for writer in list(self.server.writers):
                if mode == "reset":
                    reset(writer)

    async def handle(self, request):
        if self.mode == "busy":
            return reply(503)
        if self.mode == "silent":
            return SILENT
        if self.mode == "reset":
            return RESET
        result = await self.log.handle(request)
        if self.mode == "silent":
            return SILENT
        if self.lose is not None and self.lose(request):
            return RESET
        if request.path == "/-/log-read" and request.query["topic"] == "keyed.claims":
            self.claims_read += result[1]
        return result
