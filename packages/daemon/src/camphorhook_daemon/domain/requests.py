"""Parses and validates chat requests, and derives their placement keys."""

import typing

import expression
import msgspec

from camphorhook_common import jsontext
from camphorhook_common import secrets
from camphorhook_common import wire
from camphorhook_daemon.domain import request_traits

_ROLES = ("system", "developer", "user", "assistant", "tool", "function")
_TYPES_BY_FIELD: dict[str, tuple[type, ...]] = {
    "stream": (bool, type(None)),
    "n": (int, type(None)),
    "max_tokens": (int, type(None)),
    "max_completion_tokens": (int, type(None)),
    "temperature": (int, float, type(None)),
    "top_p": (int, float, type(None)),
    "user": (str, type(None)),
    "metadata": (dict, type(None)),
    "stream_options": (dict, type(None)),
    "tools": (list, type(None)),
}


class ChatRequest(typing.NamedTuple):
    """A validated chat-completions request.

    Attributes:
        fields: the decoded JSON body.
        model: name of the model.
        is_stream: whether the answer is to be streamed.
        wants_usage: whether a streamed answer is to end with its usage.
        chat_key: key for placement, made of the account and the chat's id.
        traits: what the request shares with others that crash upstreams;
            the first is the digest of the account and the body, and the
            others are those of all messages but the last.
    """

    fields: dict
    model: str
    is_stream: bool
    wants_usage: bool
    chat_key: str
    traits: tuple[int, ...]

    def can_continue(self):
        """Tell whether another engine can continue a partial answer."""
        single = self.fields.get("n") in (None, 1)
        return single and not self.fields.get("tools")


def _refuse(message):
    failure = wire.RequestFailure(400, "invalid_request", message, "not-run")
    return expression.Error(failure)


def _find_fault(fields):
    """Return the first problem with the fields, or an empty string."""
    if not isinstance(fields, dict):
        return "the body must be a JSON object"
    if not isinstance(fields.get("model"), str) or not fields["model"]:
        return "field model: give the name of a model as a string"
    for name, types in _TYPES_BY_FIELD.items():
        if name in fields and type(fields[name]) not in types:
            wanted = " or ".join(
                "null" if one is type(None) else one.__name__ for one in types
            )
            return f"field {name}: give {wanted}"
    for name in ("n", "max_tokens", "max_completion_tokens"):
        value = fields.get(name)
        if value is not None and value < 1:
            return f"field {name}: give a number above 0"
    return _find_message_fault(fields.get("messages"))


def _find_message_fault(messages):
    if not isinstance(messages, list) or not messages:
        return "field messages: give a list with at least one message"
    for position, message in enumerate(messages):
        where = f"field messages[{position}]"
        if not isinstance(message, dict):
            return f"{where}: give an object"
        if message.get("role") not in _ROLES:
            return f"{where}.role: give one of " + ", ".join(_ROLES)
        content = message.get("content")
        if not isinstance(content, (str, list, type(None))):
            return f"{where}.content: give a string or a list of parts"
    return ""


def parse_chat(
    body, account, chat_id
) -> expression.Result[ChatRequest, wire.RequestFailure]:
    """Parse and validate a request body.

    Args:
        body: the request's body, as bytes.
        account: name of the client account.
        chat_id: id of the chat that the client gave; may be empty.
    """
    try:
        fields = jsontext.decode(body)
    except jsontext.DecodeError as error:
        return _refuse(f"the body is not JSON: {error}")
    fault = _find_fault(fields)
    if fault:
        return _refuse(fault)
    options = fields.get("stream_options") or {}
    request = ChatRequest(
        fields,
        fields["model"],
        bool(fields.get("stream")),
        bool(options.get("include_usage")),
        f"{account}/{chat_id or _derive_chat_id(fields)}",
        _hash_traits(account, body, fields["messages"]),
    )
    return expression.Ok(request)


def _hash_traits(account, body, messages):
    """Return the request's digest and the traits of its shared messages."""
    digest = request_traits.hash_request(account, "", "", body)
    parts = [msgspec.json.encode(one).decode() for one in messages[:-1]]
    return (digest, *request_traits.hash_parts(parts))


def _derive_chat_id(fields):
    """Return the id of a chat, for a request whose headers have none.

    It is `chat_id` of the metadata, or else a digest of the messages up to
    the user's first one. These stay the same in later requests of the chat,
    and are what an engine's prefix cache holds.
    """
    metadata = fields.get("metadata") or {}
    if isinstance(metadata.get("chat_id"), str):
        return metadata["chat_id"]
    opening = []
    for message in fields["messages"]:
        opening.append(message)
        if message["role"] == "user":
            break
    return secrets.digest_body(msgspec.json.encode(opening))
