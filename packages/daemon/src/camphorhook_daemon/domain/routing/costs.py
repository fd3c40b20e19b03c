"""What requests cost upstreams, as learned from the answers to them.

Requests that look alike need very different numbers of output tokens; half of
those to engines carry a client's estimate, which is right at the median and
often far off. Costs are learned by route as means of logarithms, to which a
single outlier adds little, with weights that halve every 44 answers.

Work is counted in prompt tokens: an engine prefills 64 of them in a
millisecond, and each of its running requests adds 0.08 ms to a step, in which
one output token of every request is generated.
"""

import math
import typing

MAX_TOKENS = 10_000_000  # a client's higher number is taken for an error
PREFILL_TOKENS_PER_MS = 64.0  # that an engine prefills at the usual speed
# Work that an output token adds to the engine's other requests.
OUTPUT_TOKEN_WORK = 5.0
# Most work of one request, in prompt tokens: a prompt and an output of
# MAX_TOKENS each.
MAX_REQUEST_WORK = int((1 + OUTPUT_TOKEN_WORK) * MAX_TOKENS)
# Work that fits into the step in which an engine generates an output token.
STEP_WORK = 234.0
TOKENS_PER_EVENT = 8  # output tokens that an event of a stream holds
DEFAULT_OUTPUT_TOKENS = 256.0  # until an answer of the route has ended
DEFAULT_SLOT_MS = 40.0  # until a plain request of the route has ended
KEEP = 1 - 1 / 64  # weight of earlier answers at each new one
MIN_WEIGHT = 8.0  # answers from which on a value counts as an outlier
MAX_DEVIATION = math.log(8.0)  # of an outlier from the mean
# Until hints of a route have varied, half of a deviation is believed.
PRIOR_VARIANCE = 1.0
PRIOR_SLOPE = 0.5
# Classes of the error of an estimate, for the metric.
ERROR_CLASSES = (1.25, 2.0, 4.0)


class Hint(typing.NamedTuple):
    """What a client says of the cost of its request.

    Attributes:
        output: estimate of the output tokens; None if there is none.
        most_output: most output tokens that it accepts; inf for any number.
    """

    output: float | None = None
    most_output: float = math.inf


class Estimate(typing.NamedTuple):
    """Expected cost of a request.

    Attributes:
        output: output tokens; 0 for a plain request.
        slot_ms: milliseconds in a slot; 0 for a request to an engine.
    """

    output: float
    slot_ms: float

    def compute_work(self):
        """Return the work in prompt tokens without that of the prompt."""
        return int(
            OUTPUT_TOKEN_WORK * self.output
            + PREFILL_TOKENS_PER_MS * self.slot_ms
        )


def count_prefill_tokens(parts, has_shared, longest):
    """Return the tokens that an engine has to prefill for a prompt.

    Args:
        parts: (id, tokens) of each part, as the client names them.
        has_shared: whether the engine has all parts but the last one.
        longest: tokens of the longest prompt that the engine can hold. The
            parts of a longer one are taken for an error and count as none.
    """
    tokens = sum(count for _, count in parts)
    if tokens > longest:
        return 0
    return parts[-1][1] if has_shared else tokens


class _Mean:
    """Weighted mean of logarithms that limits outliers."""

    def __init__(self):
        self.weight = 0.0
        self.mean = 0.0

    def limit(self, value):
        """Return a logarithm, moved close enough to the mean."""
        if self.weight < MIN_WEIGHT:
            return value
        low, high = self.mean - MAX_DEVIATION, self.mean + MAX_DEVIATION
        return min(max(value, low), high)

    def add(self, value):
        """Add a logarithm."""
        value = self.limit(value)
        self.weight = self.weight * KEEP + 1
        self.mean += (value - self.mean) / self.weight


class _Correction:
    """How outputs of a route depend on hints: a line through logarithms."""

    def __init__(self):
        self._hints = _Mean()
        self._outputs = _Mean()
        self._variance = 0.0
        self._covariance = 0.0

    def add(self, hint, output):
        """Add the logarithms of a hint and of the output that followed."""
        hint = self._hints.limit(hint)
        output = self._outputs.limit(output)
        before = hint - self._hints.mean if self._hints.weight else 0.0
        self._hints.add(hint)
        self._outputs.add(output)
        self._variance = self._variance * KEEP + before * (
            hint - self._hints.mean
        )
        self._covariance = self._covariance * KEEP + before * (
            output - self._outputs.mean
        )

    def apply(self, hint):
        """Return the logarithm of the output to expect after a hint."""
        if not self._hints.weight:
            return hint
        slope = (self._covariance + PRIOR_SLOPE * PRIOR_VARIANCE) / (
            self._variance + PRIOR_VARIANCE
        )
        deviation = self._hints.limit(hint) - self._hints.mean
        return self._outputs.mean + min(1.0, max(0.0, slope)) * deviation


class _Route:
    """What was learned of one route."""

    def __init__(self):
        self.outputs = _Mean()
        self.correction = _Correction()
        self.slots = _Mean()


class Costs:
    """Learned costs by route."""

    def __init__(self):
        self._routes = {}

    def estimate_output(self, route, hint):
        """Return the output tokens that a request will probably need.

        Args:
            route: name of its route.
            hint: its Hint.
        """
        known = self._routes.get(route) or _Route()
        tokens = DEFAULT_OUTPUT_TOKENS
        if hint.output is not None:
            tokens = math.exp(known.correction.apply(math.log(hint.output)))
        elif known.outputs.weight:
            tokens = math.exp(known.outputs.mean)
        return min(tokens, hint.most_output)

    def record_output(self, route, hint, tokens):
        """Record the output tokens that a request has needed, at least 1."""
        known = self._routes.setdefault(route, _Route())
        value = math.log(max(1.0, tokens))
        known.outputs.add(value)
        if hint.output is not None:
            known.correction.add(math.log(hint.output), value)

    def estimate_slot_ms(self, route):
        """Return the milliseconds that a plain request will take in a slot."""
        known = self._routes.get(route)
        if known is None or not known.slots.weight:
            return DEFAULT_SLOT_MS
        return math.exp(known.slots.mean)

    def record_slot_ms(self, route, milliseconds):
        """Record the time of a plain request that did not wait for a slot."""
        known = self._routes.setdefault(route, _Route())
        known.slots.add(math.log(max(0.1, milliseconds)))

    def retain(self, routes):
        """Forget all other routes."""
        for name in self._routes.keys() - set(routes):
            del self._routes[name]


def classify_error(estimate, actual):
    """Return by which factor an estimate was wrong at most, as a label."""
    factor = max(estimate, actual, 1e-3) / max(min(estimate, actual), 1e-3)
    for limit in ERROR_CLASSES:
        if factor <= limit:
            return f"{limit:g}"
    return "more"
