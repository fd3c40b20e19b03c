Feature: A request that may not be repeated runs at most once

  Background:
    Given the cell services desk attempt_seconds is 4

  Scenario: The same key with another body is a clear error
    When a caller books "gut" with key "once-1" at a1
    And a caller books "poly" with key "once-1" at b1
    Then the answer is 422 with code idempotency_key_reused and disposition not-run
    And the booking "once-1" took effect 1 times

  Scenario: Resends at every instance at once
    When a slow booking with key "once-2" is sent to every instance at once
    Then the booking "once-2" took effect 1 times
    And every answer is 201 or has the disposition maybe-run

  Scenario: The entry instance is killed while the booking runs
    When a slow booking with key "once-3" runs at b2 and b2 is killed
    And the booking "once-3" is sent again at a1 until it is not running
    Then the booking "once-3" took effect 1 times
    And the answer is 504 with code claim_unknown and disposition maybe-run

  Scenario: The service crashes after the effect
    When a booking with key "once-4" crashes its service after the effect
    Then the answer is 504 with code claim_unknown and disposition maybe-run
    When the booking "once-4" is sent again at c2
    Then the booking "once-4" took effect 1 times
    And the answer is 504 with code claim_unknown and disposition maybe-run

  Scenario: The status route tells the truth
    When a caller books "stencil" with key "once-5" at a2
    Then the status of "once-5" at c1 is finished with disposition run
    And the status of "never" at c1 is none with disposition not-run
    And another account sees the status of "once-5" as none

  Scenario: Without a quorum a booking is truthfully not run
    When the processes b1, c1 are killed at once
    And a caller books "clay" with key "once-6" at a1
    Then the answer is 503 with code no_quorum and disposition not-run
    And the booking "once-6" took effect 0 times
    When the processes b1, c1 start again
    And the booking "once-6" is sent again at c2 until it is not running
    Then the booking "once-6" took effect 1 times

  Scenario: The leader is killed between claim and outcome
    When a slow booking with key "once-7" runs at a2 and the leader is killed
    Then the booking "once-7" took effect 1 times
    And the answer has the disposition run or maybe-run
    When the booking "once-7" is sent again at b2 until it is not running
    Then the booking "once-7" took effect 1 times

  Scenario: No upstream is there
    When the processes desk-a, desk-b, desk-c are killed at once
    And the upstreams desk-a, desk-b, desk-c are no longer heard
    And a caller books "late" with key "once-8" at a1
    Then the answer has the disposition not-run
    And the booking "once-8" took effect 0 times
    When the processes desk-a, desk-b, desk-c start again
    And the booking "once-8" is sent again at b1 until it succeeds
    Then the booking "once-8" took effect 1 times

  Scenario: An answer too large to be recorded is not replayed in part
    When a booking with key "once-9" is answered with 2000000 bytes at a1
    Then the answer is a whole booking
    When the booking "once-9" is sent again at b1
    Then the answer is 410 with code answer_not_recorded and disposition run
    And the booking "once-9" took effect 1 times
    And the status of "once-9" at c1 is finished with disposition run

  # The service's headers came too, ahead of the instance's: a client that
  # read the first disposition sent a booking again that had run.
  Scenario: The service answers with headers that instances set
    When a booking with key "once-10" is answered with each header that instances set, at a1
    Then the answer has none of the service's values
    And the answer has the disposition run or maybe-run
