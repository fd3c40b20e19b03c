"""Step definitions for end-to-end requests and invalid input."""

import socket

import behave
import openai

from tests.harness import callers
from tests.standins import engine

HUGE_BYTES = 5 * 1024 * 1024
HUGE_HEADER_BYTES = 40000


def find_address(context, name):
    """Return an instance's ADDRESS:PORT for callers."""
    return context.fleet.plan.find_instance(name).callers


def find_engine(reply):
    """Return the engine that the last event of a stream came from."""
    return reply.ids[-1].split("~")[1]


def book(context, what, key, name, **fields):
    """Send a booking, record its reply and return it."""
    reply = callers.send(
        "POST",
        find_address(context, name),
        "/services/desk/bookings",
        key=context.fleet.plan.account_key,
        body={"what": what, **fields},
        headers={"idempotency-key": key},
    )
    context.replies.append(reply)
    return reply


def count_effects(context, key):
    """Return how many times a booking took effect."""
    return sum(one["key"] == key for one in context.fleet.read_effects())


@behave.when('a caller streams the chat "{text}" at {name:Word}')
def stream_chat(context, text, name):
    context.body = callers.make_chat(text)
    reply = callers.stream_chat(
        find_address(context, name),
        context.fleet.plan.account_key,
        context.body,
    )
    context.replies.append(reply)


@behave.then("the streamed answer is complete")
def check_complete(context):
    reply = context.replies[-1]
    assert reply.is_whole, reply
    assert reply.text == engine.make_answer(context.body["messages"]), reply


@behave.when('a caller sends the chat "{text}" at {name:Word}')
def send_chat(context, text, name):
    context.body = callers.make_chat(text, stream=False)
    reply = callers.send(
        "POST",
        find_address(context, name),
        "/v1/chat/completions",
        key=context.fleet.plan.account_key,
        body=context.body,
    )
    context.replies.append(reply)


@behave.then("the answer is the engine's complete answer")
def check_answer(context):
    reply = context.replies[-1]
    assert reply.status == 200, reply
    text = reply.json()["choices"][0]["message"]["content"]
    assert text == engine.make_answer(context.body["messages"]), text


@behave.when('the chat continues at {name:Word} with "{text}"')
def continue_chat(context, name, text):
    answer = context.replies[-1].text
    context.body["messages"] += [
        {"role": "assistant", "content": answer},
        {"role": "user", "content": text},
    ]
    reply = callers.stream_chat(
        find_address(context, name),
        context.fleet.plan.account_key,
        context.body,
    )
    context.replies.append(reply)


@behave.then("both answers are complete and came from the same engine")
def check_same_engine(context):
    first, second = context.replies
    assert first.is_whole and second.is_whole
    assert find_engine(first) == find_engine(second)


@behave.when("the published chat client lists models and chats at {name:Word}")
def use_published_client(context, name):
    client = openai.OpenAI(
        api_key=context.fleet.plan.account_key,
        base_url=f"http://{find_address(context, name)}/v1",
        max_retries=0,
    )
    messages = [{"role": "user", "content": "Gut or poly?"}]
    context.models = [model.id for model in client.models.list()]
    whole = client.chat.completions.create(
        model="stringmind", messages=messages
    )
    context.whole = whole.choices[0].message.content
    chunks = client.chat.completions.create(
        model="stringmind",
        messages=messages,
        stream=True,
        stream_options={"include_usage": True},
    )
    context.streamed = ""
    context.usage = None
    for chunk in chunks:
        if chunk.choices:
            context.streamed += chunk.choices[0].delta.content or ""
        context.usage = chunk.usage or context.usage
    context.messages = messages


@behave.then("it got the model, a complete answer and a streamed answer")
def check_published_client(context):
    wanted = engine.make_answer(context.messages)
    assert context.models == ["stringmind"], context.models
    assert context.whole == wanted
    assert context.streamed == wanted
    assert context.usage.completion_tokens == engine.DEFAULT_TOKENS


@behave.when('a caller books "{what}" with key "{key:Word}" at {name:Word}')
def send_booking(context, what, key, name):
    book(context, what, key, name)


@behave.then(
    'every answer is {status:d} and the booking "{key:Word}" took effect once'
)
def check_booked_once(context, status, key):
    assert all(
        one.status == status for one in context.replies
    ), context.replies
    assert count_effects(context, key) == 1, context.fleet.read_effects()


@behave.then("the last answer was replayed")
def check_replayed(context):
    headers = context.replies[-1].headers
    assert headers.get("idempotent-replayed") == "true", headers


def _chat(context, name, body, **options):
    options.setdefault("key", context.fleet.plan.account_key)
    return callers.send(
        "POST",
        find_address(context, name),
        "/v1/chat/completions",
        body=body,
        **options,
    )


def _send_half_body(context, name):
    """Send the head and half of the body, then wait for the answer."""
    address, port = find_address(context, name).split(":")
    with socket.create_connection((address, int(port)), 30) as connection:
        key = context.fleet.plan.account_key
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\n"
            f"authorization: Bearer {key}\r\ncontent-length: 100\r\n\r\n"
        )
        connection.sendall(head.encode() + b'{"model":')
        data = b""
        while b"}}" not in data:
            data += connection.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    return callers.Reply(int(lines[0].split()[1]), headers, body)


def _send_invalid(context, name, what):
    good = callers.make_chat("hello", stream=False)
    address = find_address(context, name)
    key = context.fleet.plan.account_key
    match what:
        case "text that is not JSON":
            return _chat(context, name, b"{model: stringmind")
        case "an unknown model":
            return _chat(context, name, {**good, "model": "nobody"})
        case "no messages":
            return _chat(context, name, {**good, "messages": []})
        case "a number as content":
            wrong = [{"role": "user", "content": 5}]
            return _chat(context, name, {**good, "messages": wrong})
        case "stream as text":
            return _chat(context, name, {**good, "stream": "yes"})
        case "no key":
            return _chat(context, name, good, key="")
        case "a wrong key":
            return _chat(context, name, good, key="chk-nobody")
        case "a closed account's key":
            return _chat(context, name, good, key="chk-test-closed")
        case "a huge body":
            return _chat(context, name, b"x" * HUGE_BYTES)
        case "huge headers":
            huge = {"x-filler": "x" * HUGE_HEADER_BYTES}
            return _chat(context, name, good, headers=huge)
        case "half a body":
            return _send_half_body(context, name)
        case "an unknown path":
            return callers.send("GET", address, "/v2", key=key)
        case "a GET of chats":
            path = "/v1/chat/completions"
            return callers.send("GET", address, path, key=key)
        case "an unknown route":
            path = "/services/desk/refunds"
            return callers.send("POST", address, path, key=key, body={})
        case "a booking without key":
            path = "/services/desk/bookings"
            return callers.send("POST", address, path, key=key, body={})
    raise ValueError(what)


@behave.when("a caller sends {what} at {name:Word}")
def send_invalid(context, what, name):
    context.replies.append(_send_invalid(context, name, what))


@behave.then(
    "the answer is {status:d} with code {code:Word} and disposition "
    "{disposition:Word}"
)
def check_refusal(context, status, code, disposition):
    reply = context.replies[-1]
    error = reply.json()["error"]
    assert reply.status == status, reply
    assert error["code"] == code, error
    assert reply.disposition == disposition, reply
