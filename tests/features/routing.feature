Feature: Upstreams get no more load than they can take

  Scenario: A cold engine gets no more than its allowance from the whole fleet
    When all engines are killed and restart cold
    And 60 callers send chats to all instances at the same time
    Then no engine collapsed
    And every chat was answered completely or refused as not run
    And some of the chats were answered

  Scenario: Holders of permits are killed while their permits are out
    When all engines are killed and restart cold
    And 12 long chats are started on the cold engines
    And the processes a1, a2 are killed at once
    And the processes a1, a2 start again
    And the restarted instances a1, a2 are ready
    And 60 callers send chats to all instances at the same time
    Then no engine collapsed
    And every chat was answered completely or refused as not run

  Scenario: An engine that turns cold without notice is found and spared
    When the engines are warm
    And one engine turns cold without announcing it
    And chats are sent one after the other until a1 reports the engine as cold
    Then every instance reports the engine as cold
    When 60 callers send chats to all instances at the same time
    Then no engine collapsed
    And every chat was answered completely or refused as not run
    And some of the chats were answered

  Scenario: A surge of one account is refused with a time to come back
    When the limited account sends 40 chats to all instances at once
    Then some are refused as rate_limited with Retry-After and not-run
    And the fleet ran at most 30 of them

  Scenario: A hot chat spreads within the bound
    When the engines are warm
    And 48 callers send the same chat repeatedly to all instances at once
    Then no engine ever exceeded the load bound of 1.25 times the mean

  Scenario: One request that crashes engines takes down at most two
    When the crashing request is sent to every instance in turn
    Then at most 2 engines crashed in the whole fleet
    And the last answer refuses the request permanently

  Scenario: Different chats with a message that crashes engines
    When different chats with one crashing message are sent to every instance
    Then at most 4 engines crashed in the whole fleet
    And the last answer refuses the request permanently

  Scenario: Ordinary chats beside a crashing request are answered whole
    When 8 long chats run while the crashing request is sent to a1 and b1
    Then each of them has its own complete answer or an explicit error
    And none of the ordinary chats was refused as a suspect

  Scenario: A failure domain goes out and comes back
    When an operator takes zone-b out while 12 long chats run
    Then engines of zone-b get no new requests after 3 seconds
    And the 12 long chats are complete
    When an operator brings zone-b back
    Then chats are served by engines of zone-b again and none collapsed

  Scenario: An engine that leaves finishes its streams and gets no new work
    When a long chat runs and its engine gets SIGTERM
    Then the long answer is complete
    And the engine exited by itself with code 0
    And its request log shows no new requests after it was stopped

  Scenario: An instance that gets SIGTERM cuts nothing off
    When 6 long chats run at a1 and a1 gets SIGTERM
    Then a1 reports at once that it is stopping
    And the 6 long chats are complete
    And a1 exited with code 0

  Scenario: A rolling restart of all instances under load loses nothing
    When chats are sent continuously while every instance is restarted in turn
    Then no chat was lost

  Scenario: A drained upstream gets no new work
    When an operator drains an engine
    Then it gets none of 30 chats
