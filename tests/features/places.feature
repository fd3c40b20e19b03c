@no_fleet
Feature: Instances share the places of upstreams

  Scenario Outline: No request waits at an instance that grants none of the places
    Given 2 instances that share 1 place at each of <upstreams> upstreams
    When <count> requests of 0.1 s are sent at once, 10 times, every 0.5 s
    Then all of them are sent within 1 second

    Examples:
      | upstreams | count |
      | 1         | 3     |
      | 2         | 6     |

  Scenario: Requests find a place at one instance while the other has none for long
    Given 2 instances that share 1 place at each of 2 upstreams
    And a request of 6 s has one of the places
    When 3 requests of 0.1 s are sent at once, 10 times, every 0.5 s
    Then all of them are sent within 1 second

  Scenario: A request waits for the only place while the other instance is silent
    Given 2 instances that share 1 place at each of 1 upstreams
    And the instance that grants none of the places is silent
    When 2 requests of 0.1 s are sent at once, 10 times, every 0.5 s
    Then all of them are sent within 1 second

  Scenario: Requests do not wait for an instance that was lost
    Given 2 instances that share 1 place at each of 2 upstreams
    And one of the instances was lost
    When 6 requests of 0.1 s are sent at once, 10 times, every 0.5 s
    Then each of them may be sent within 0.5 seconds, with a place or without

  Scenario Outline: Places of requests that were lost are free again in time
    Given 2 instances that share 1 place at each of 2 upstreams, <kind>
    And 2 requests got places and were lost, 10 seconds before their deadline
    When a request of 0.1 s is sent <seconds> seconds later
    Then <found> place is found for it

    Examples:
      | kind        | seconds | found |
      | not brittle | 0.5     | no    |
      | not brittle | 1.5     | a     |
      | brittle     | 1.5     | no    |
      | brittle     | 11.5    | a     |
