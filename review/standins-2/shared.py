"""The configuration and the load that the cases share."""
import asyncio

from deployment import read_body, read_head

SERVICES = [{"name": "plain", "health_path": "/healthz", "max_conns": 49},
            {"name": "keyed", "health_path": "/healthz", "max_conns": 49, "sharded": True,
             "warm_s": 0.1}]


def route(name, kind, service):
    return {"name": name, "prefix": f"/{name}/", "kind": kind, "timeout_s": 3.0, "slo_s": 0.5,
            "prio": 1, "service": service, "attempts": 2 if kind == "idempotent" else 1}


ROUTES = [route("get", "idempotent", "plain"), route("post", "non_idempotent", "plain"),
          route("key", "non_idempotent", "keyed")]


async def client(case, host, pause_s, method="GET", path="/get/a"):
    """Sends one request after the other to a host on a kept connection, and opens another one
    after a failure."""
    reader = writer = None
    while True:
        attempt = case.attempt_id()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
            case.record.add("sent", host=host.name, attempt=attempt)
            length = "Content-Length: 0\r\n" if method != "GET" else ""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: review.example\r\n"
                          f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2000\r\n{length}\r\n").encode())
            head = await asyncio.wait_for(read_head(reader), 2)
            if head is None:
                raise ConnectionResetError
            body = await read_body(reader, head)
            case.record.add("answered", attempt=attempt, status=int(head.first.split(" ")[1]),
                            sealed=head.get("x-upstream-seal") is not None, body=len(body))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
            case.record.add("failed", attempt=attempt, error=type(err).__name__)
            if writer is not None:
                writer.close()
            writer = None
        await asyncio.sleep(pause_s)


def leader(case):
    """The host that last wrote the lease of the coordinator."""
    leases = [it for it in case.record.events if it["what"] == "lease"]
    name = leases[-1]["host"] if leases else None
    return next((it for it in case.hosts if it.name == name), None)


def late_arrivals(case, drain_s, out_of_touch):
    """The requests that reached a backend later than `drain_s` after the store had acknowledged its
    leaving, except for those of clients of hosts in `out_of_touch`."""
    left = {it["backend"]: it["t"] for it in case.record.events if it["what"] == "left"}
    sent = {it["attempt"]: it for it in case.record.events if it["what"] == "sent"}
    late = []
    for it in case.record.events:
        if it["what"] != "run" or it["backend"] not in left:
            continue
        after = it["t"] - left[it["backend"]]
        if after > drain_s and sent[it["attempt"]]["host"] not in out_of_touch:
            late.append((round(after, 3), it["backend"], it["attempt"]))
    return late
