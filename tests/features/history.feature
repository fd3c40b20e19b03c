Feature: A mixed run under random faults keeps its guarantees

  Scenario Outline: Bookings and changes while instances die and domains are cut
    Given the cell services desk attempt_seconds is 3
    When callers book and operators change cells for 25 seconds under faults of seed <seed>
    And the network heals and everything runs again
    Then no booking took effect twice
    And every booking that was answered took effect once, with one answer
    And every booking that was only ever refused as not-run had no effect
    And every accepted change is in force on every instance
    And no instance ever went back to a lower index

    Examples:
      | seed |
      | 1    |
      | 2    |
