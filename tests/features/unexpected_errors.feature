@no_fleet
Feature: Errors of the instance's own code are answered

  # Each closed the client's connection without an answer. A client may repeat
  # a booking only after an answer that promises that it has not run.
  Scenario Outline: Errors on the way to an upstream and back
    Given an instance in which <what> fails
    When a client sends a booking
    Then it is answered <status>, and <count> bookings reached an upstream
    And no upstream is taken to have failed
    When that works again and the client sends another booking
    Then it is answered 200

    Examples: before an upstream was reached
      | what                                 | status | count |
      | encoding a header for the upstream   | 503    | 0     |
      | choosing the upstream                | 503    | 0     |
      | writing headers for the upstream     | 503    | 0     |
      | writing headers for another instance | 503    | 0     |

    Examples: otherwise
      | what                                 | status | count |
      | reading the request                  | 500    | 0     |
      | recording that the answer has begun  | 502    | 1     |

  # Each ended a task of the root nursery, and the process with it.
  Scenario Outline: Notices that can't be made, encoded or applied
    Given two instances that exchange notices, of which the first <does>
    When the first one publishes again and again
    Then the second one gets the notices that follow

    Examples:
      | does                                 |
      | fails to make three of them          |
      | makes three that can't be encoded    |
      | makes three that the second fails on |

  Scenario: A summary that can't be made
    When a relay fails to make one of its summaries
    Then it publishes the next ones

  Scenario Outline: Messages that can't be encoded
    When the first calls the second, and <what> can't be encoded
    Then the call fails as if it had not arrived, and the next succeeds

    Examples:
      | what        |
      | the message |
      | the reply   |
