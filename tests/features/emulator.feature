@no_fleet
Feature: The emulator plays the product's decisions

  Scenario: A trial repeats with its seed
    When the plan "counter" is played twice for 4 seconds with seed 5
    Then both trials gave the same

  Scenario: Every request ends once, and none is made up
    When the plan "counter" is played twice for 4 seconds with seed 5
    Then each kind's shares add up to 1
    And no server got a request that no caller sent

  Scenario: Constants hold for one trial only
    When the plan "counter" is played with choice.LOAD_BOUND at 1.1
    Then choice.LOAD_BOUND is as before
    And an unknown constant is refused

  Scenario: An engine reads a prompt again only where it isn't in memory
    Given an engine that reads 10 tokens in a millisecond
    When a prompt of 5000 tokens comes three times, then room for it is gone
    Then the first and the last read it, the others don't

  Scenario Outline: Callers are served under load and trouble
    When the plan "<plan>" is played for <seconds> seconds with seed 1
    Then in sum at least <worth> of the worth is earned
    And no kind has less than <kind> of its worth
    And every refusal came within <refused> seconds

    Examples: what the users ask of a day with trouble, and a floor a kind
      | plan     | seconds | worth | kind | refused |
      | counter  | 16      | 0.6   | 0.4  | 1.0     |
