"""HTTP/1.1 over asyncio for the stand-ins of the soak: kept connections, bodies with a length, nothing else."""
import asyncio
import json


class Cut(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_message(reader):
    """First line, headers in lower case and body of one message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def serve(host, port, handler):
    """Serves handler(method, target, headers, body) -> (status, object, headers). Returns the server."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, answer, extra = await handler(method, target, headers, body)
                data = b"" if answer is None else json.dumps(answer).encode()
                lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(data)}", "Content-Type: application/json"]
                lines += [f"{name}: {value}" for name, value in (extra or {}).items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
                await writer.drain()
        except (Cut, asyncio.IncompleteReadError, ConnectionError):
            writer.transport.abort()
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=512)


class Connection:
    """A kept connection of a client; opened anew after any failure."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def call(self, method, path, body=None, headers=None, timeout=3.0):
        """(status, object or None, headers). Status 0: no answer; -1: nothing was sent."""
        sent = False
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
                data = b"" if body is None else json.dumps(body).encode()
                lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
                sent = True
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
                first, answer_headers, answer = await read_message(self.reader)
                if answer_headers.get("connection") == "close":
                    self.close()
                return int(first.split(" ")[1]), json.loads(answer) if answer else None, answer_headers
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            self.close()
            return 0 if sent else -1, None, {}

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Proxy:
    """Forwards a port to an address; `mode` harms its connections.

    ok; delay (each piece 150 ms later); silent (nothing passes, connections stay open); one_way (answers do not pass);
    reset (all connections are reset and new ones refused at once).
    """

    def __init__(self, target):
        self.target = target
        self.mode = "ok"
        self.writers = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.connection, host, port, backlog=512)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def connection(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, up_writer}
        self.writers |= pair
        harmed = {"value": False}

        async def pump(source, sink, back):
            try:
                while data := await source.read(65536):
                    # A connection that once went silent stays so, like one whose path was lost.
                    harmed["value"] |= self.mode == "silent" or (self.mode == "one_way" and back)
                    if harmed["value"]:
                        continue
                    if self.mode == "delay":
                        await asyncio.sleep(0.15)
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not harmed["value"]:
                for each in pair:
                    each.transport.abort()

        await asyncio.gather(pump(reader, up_writer, False), pump(up_reader, writer, True))
        self.writers -= pair
        for each in pair:
            each.transport.abort()
