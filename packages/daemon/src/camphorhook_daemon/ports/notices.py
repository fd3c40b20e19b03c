"""Port for notices between instances: the topics that they subscribe to.

An exchange has `publish(topic, message)`, which never blocks, and
`follow(topic, names)`, which subscribes to a topic at exactly the named
instances.
"""

NOTICE, GROUP_SUMMARY, FLEET_SUMMARY = b"n", b"g", b"w"
TOPICS = (NOTICE, GROUP_SUMMARY, FLEET_SUMMARY)
