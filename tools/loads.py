"""The workload of measurements: returning chats of accounts, seeded.

Chats pause for heavy-tailed times and come back with all earlier turns; a
few accounts are large; chats of an account share its opening prompt.
"""

import random
import typing

LARGE_ACCOUNTS = 3
LARGE_SHARE = 0.6
OPENING_WORDS = 60
TURN_WORDS = 40
PARETO_SHAPE = 1.3
SHORTEST_PAUSE_SECONDS = 0.15
LONGEST_PAUSE_SECONDS = 8.0
TURN_TOKENS = 16


class Turn(typing.NamedTuple):
    """One request of a chat.

    Attributes:
        at: seconds after the start of the run.
        chat: number of the chat.
        account: number of the account.
        messages: all messages up to this turn.
    """

    at: float
    chat: int
    account: int
    messages: list


def _make_words(chance, count):
    return " ".join(f"s{chance.randrange(5000)}" for _ in range(count))


def plan_turns(seed, *, chats, accounts, turns, seconds):
    """Return all turns of a run in the order of their times.

    The assistant's part of the history is a stand-in text of the same
    length, so that a plan does not depend on answers.

    Args:
        seed: seed of all choices.
        chats: number of chats.
        accounts: number of accounts.
        turns: most turns of a chat.
        seconds: length of the run; later turns are left out.
    """
    chance = random.Random(seed)
    openings = [_make_words(chance, OPENING_WORDS) for _ in range(accounts)]
    planned = []
    for chat in range(chats):
        large = chance.random() < LARGE_SHARE
        low, high = (0, LARGE_ACCOUNTS) if large else (0, accounts)
        account = chance.randrange(low, high)
        at = chance.random() * seconds * 0.8
        messages = [{"role": "system", "content": openings[account]}]
        for _ in range(turns):
            words = _make_words(chance, TURN_WORDS)
            messages = [*messages, {"role": "user", "content": words}]
            planned.append(Turn(at, chat, account, messages))
            answer = _make_words(chance, TURN_WORDS)
            messages = [*messages, {"role": "assistant", "content": answer}]
            pause = SHORTEST_PAUSE_SECONDS * chance.paretovariate(PARETO_SHAPE)
            at += min(pause, LONGEST_PAUSE_SECONDS)
            if at > seconds:
                break
    planned.sort(key=lambda turn: turn.at)
    return planned
