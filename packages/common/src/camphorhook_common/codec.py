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
        self._types = dict(kinds)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {}

    def encode(self, value):
        """Return a value as (kind, MessagePack body).

        Raises:
            errors.ProtocolError: a field holds a number of more than 64 bits
                or text that has no UTF-8.
        """
        kind = self._kind_of[type(value)]
        try:
            return kind, self._encoder.encode(value)
        except (OverflowError, UnicodeEncodeError) as error:
            raise errors.ProtocolError(
                f"{type(value).__name__} can't be encoded: {error}",
                step="encode",
            ) from error

    def decode(self, kind, body):
        """Return the value that a kind and a MessagePack body encode.

        Raises:
            errors.ProtocolError: the kind is unknown, or the body does not
                match its type.
        """
        try:
            return self._get_decoder(kind).decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.ProtocolError(str(error), step="decode") from error

    def _get_decoder(self, kind):
        """Return the decoder of a kind; it is built at its first use."""
        decoder = self._decoders.get(kind)
        if decoder is None:
            if kind not in self._types:
                raise errors.ProtocolError(
                    f"unknown kind {kind!r}", step="decode"
                )
            decoder = msgspec.msgpack.Decoder(self._types[kind])
            self._decoders[kind] = decoder
        return decoder
