"""MessagePack for a closed set of types, each named by a short kind."""

import msgspec

from camphorhook_common import errors


class Codec:
    """Encodes and decodes the types of a set."""

    def __init__(self, kinds):
        """Create a codec.

        Args:
            kinds: NamedTuple type by kind.
        """
        self._kind_of = {type_: kind for kind, type_ in kinds.items()}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {
            kind: msgspec.msgpack.Decoder(type_)
            for kind, type_ in kinds.items()
        }

    def encode(self, value):
        """Return a value's kind and body."""
        return self._kind_of[type(value)], self._encoder.encode(value)

    def decode(self, kind, body):
        """Return the value of a kind and body.

        Raises:
            errors.ProtocolError: unknown kind or a body that does not fit.
        """
        decoder = self._decoders.get(kind)
        if decoder is None:
            raise errors.ProtocolError(f"unknown kind {kind!r}", step="decode")
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise errors.ProtocolError(str(error), step="decode") from error
