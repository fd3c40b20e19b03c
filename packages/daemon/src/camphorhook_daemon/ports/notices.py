"""How an instance's notices reach others: topics of an exchange.

An exchange has `publish(topic, message)`, which never waits, and
`follow(topic, names)`, which subscribes at exactly these instances.
"""

NOTICE, GROUP_SUMMARY, WHOLE_SUMMARY = b"n", b"g", b"w"
