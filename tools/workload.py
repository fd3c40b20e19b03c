"""Generates the seeded workload of measurements: chats with pauses.

The pauses between the turns of a chat have a heavy-tailed distribution, and
each turn sends all earlier ones again. A few accounts have most of the chats.
The chats of an account share its system prompt.
"""

import random
import typing

LARGE_ACCOUNTS = 3
LARGE_ACCOUNT_SHARE = 0.6
OPENING_WORDS = 60
TURN_WORDS = 40
PARETO_SHAPE = 1.3
MIN_PAUSE_SECONDS = 0.15
MAX_PAUSE_SECONDS = 8.0
TURN_TOKENS = 16


class Turn(typing.NamedTuple):
    """One request of a chat.

    Attributes:
        at: time in seconds from the start of the run.
        chat: number of the chat.
        account: number of the account.
        messages: all messages of the chat up to this turn.
    """

    at: float
    chat: int
    account: int
    messages: list


def _make_words(rng, count):
    return " ".join(f"s{rng.randrange(5000)}" for _ in range(count))


def plan_turns(seed, *, chats, accounts, turns, seconds):
    """Return the turns of a run in order of time.

    The assistant's messages are random words, as many as in the user's, so
    that the workload does not depend on answers.

    Args:
        seed: of all random choices.
        chats: number of chats.
        accounts: number of accounts.
        turns: maximum number of turns of a chat.
        seconds: duration of the run; chats end with it.
    """
    rng = random.Random(seed)
    openings = [_make_words(rng, OPENING_WORDS) for _ in range(accounts)]
    planned = []
    for chat in range(chats):
        large = rng.random() < LARGE_ACCOUNT_SHARE
        low, high = (0, LARGE_ACCOUNTS) if large else (0, accounts)
        account = rng.randrange(low, high)
        at = rng.random() * seconds * 0.8
        messages = [{"role": "system", "content": openings[account]}]
        for _ in range(turns):
            words = _make_words(rng, TURN_WORDS)
            messages = [*messages, {"role": "user", "content": words}]
            planned.append(Turn(at, chat, account, messages))
            answer = _make_words(rng, TURN_WORDS)
            messages = [*messages, {"role": "assistant", "content": answer}]
            pause = MIN_PAUSE_SECONDS * rng.paretovariate(PARETO_SHAPE)
            at += min(pause, MAX_PAUSE_SECONDS)
            if at > seconds:
                break
    planned.sort(key=lambda turn: turn.at)
    return planned
