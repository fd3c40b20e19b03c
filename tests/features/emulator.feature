@no_fleet
Feature: The emulator runs the product's routing decisions

  Scenario: A trial repeats with its seed
    When the plan "counter" is run twice for 4 seconds with seed 5
    Then both trials gave the same results

  Scenario: Every request ends once, and none is made up
    When the plan "counter" is run twice for 4 seconds with seed 5
    Then each kind's shares add up to 1
    And no server got a request that no caller sent

  Scenario: Constants hold for one trial only
    When the plan "counter" is run with choice.LOAD_BOUND at 1.1
    Then choice.LOAD_BOUND is as before
    And an unknown constant is refused

  Scenario: An engine reads a prompt again only where it isn't in memory
    Given an engine that prefills 10 tokens per millisecond
    When a prompt of 5000 tokens is sent three times, and again once evicted
    Then only the first and the last of them prefill it

  Scenario Outline: Callers are served under load and trouble
    When the plan "<plan>" is run for <seconds> seconds with seed 1
    Then at least <worth> of the total worth is earned
    And no kind has less than <kind> of its worth
    And every refusal came within <refused> seconds

    Examples: what the users ask of a day with trouble, and a floor a kind
      | plan     | seconds | worth | kind | refused |
      | counter  | 16      | 0.6   | 0.4  | 1.0     |

  Scenario Outline: Servers that name a limit get no more
    When the plan "<plan>" with engines that take <rate> requests a second is run for 14 seconds with seed <seed>
    Then no limit is exceeded
    And at least <worth> of the total worth is earned

    Examples: half of the engines take a part of what they got
      | plan     | rate | seed | worth |
      | counter  | 1.5  | 1    | 0.5   |

  Scenario Outline: Streams stay at their version while servers crash
    When the plan "<plan>" with engines of 2 versions that crash is run for 12 seconds with seed <seed>
    Then no stream holds events of two versions
    And at least 0.9 of the worth of engines of one version is earned

    Examples: a quarter of the engines crashes every third second
      | plan    | seed |
      | counter | 1    |

  Scenario Outline: A part that crashes servers is found, and nothing else
    When the plan "<plan>" with a crashing part twice a second is run for 10 seconds with seed <seed>
    Then prompts crashed at least 3 and at most 8 servers
    And no kind has less than 0.4 of its worth

    Examples: five crashes and three later ones are allowed
      | plan     | seed |
      | counter  | 1    |

  Scenario Outline: Brittle servers do not fall
    When the plan "counter" with <instances> instances and servers of <slots> slots, brittle from 1 on, gets <rate> requests for them a second
    Then no more than 2 servers fall over
    And at least <served> of these requests are served

    Examples: the served share is 0.9 of what three servers can run
      | instances | slots | rate | served |
      | 8         | 4     | 77   | 0.55   |
      | 60        | 4     | 105  | 0.4    |

  Scenario Outline: Instances that reach no server serve their clients
    When the plan "<plan>" with <instances> instances runs for <seconds> seconds while <cut> is cut off
    Then first tries at the instances cut off are served at least 0.9 times as often as at the others
    And no instance got more than <most> of the requests handed over

    Examples: four times the share of one of the others
      | plan    | instances | seconds | cut              | most |
      | counter | 8         | 14      | a third          | 0.8  |
      | counter | 8         | 14      | a failure domain | 0.8  |
      | counter | 60        | 12      | a failure domain | 0.1  |
