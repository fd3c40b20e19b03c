"""MessagePack codec for a fixed set of types, each named by a kind."""

import msgspec

from camphorhook_common import errors


class Codec:
    """Encodes and decodes values of a fixed set of types."""

    def __init__(self, kinds):
        """Create a codec.

        Args:
            kinds: NamedTuple types by kind, a short string.
        """
        self._kind_of = {type_: kind for kind, type_ in kinds.items()}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {
            kind: msgspec.msgpack.Decoder(type_)
            for kind, type_ in kinds.items()
        }

    def encode(self, value):
        """Return a value as (kind, MessagePack body)."""
        return self._kind_of[type(value)], self._encoder.encode(value)

    def decode(self, kind, body):
        """Return the value that a kind and a MessagePack body encode.

        Raises:
            errors.ProtocolError: the kind is unknown, or the body does not
                match its type.
        """
        decoder = self._decoders.get(kind)
        if decoder is None:
            raise errors.ProtocolError(f"unknown kind {kind!r}", step="decode")
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise errors.ProtocolError(str(error), step="decode") from error
