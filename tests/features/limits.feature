@no_fleet
Feature: An account's limits hold over the whole fleet

  Scenario Outline: A surge of an idle account does not pass its limits
    Given <instances> instances that exchange usages every 0.3 seconds
    And an account with 5 requests per second and <concurrency> at a time
    When <count> requests reach each of them within 0.7 seconds
    Then the fleet admits at most <most> of them

    Examples: twice the burst of two seconds, and what is due meanwhile
      | instances | concurrency | count | most |
      | 3         | 4           | 40    | 24   |
      | 6         | 4           | 40    | 24   |
      | 6         | 30          | 40    | 24   |

  Scenario: A lone caller of an idle account gets its whole burst
    Given 6 instances that exchange usages every 0.3 seconds
    And an account with 5 requests per second and 30 at a time
    When 12 requests reach one of them within 0.7 seconds
    Then the fleet admits at least 10 of them
