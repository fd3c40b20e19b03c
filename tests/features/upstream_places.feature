@no_fleet @alone
Feature: Upstreams are not sent more requests than they have places for

  Scenario Outline: Requests beyond the places of all upstreams
    Given 4 plain upstreams of 4 places at 0.25 s, <kind>, and 3 entry instances
    When <offered> requests a second are sent for 10 seconds
    Then at most <falls> of the upstreams fall over
    And from the third second on at least 58 requests a second are served
    And at most <turned> requests a second are turned away by upstreams
    And what is refused is refused within 1 second

    Examples: 64 a second is all that they can serve
      | kind                        | offered | falls | turned |
      | brittle from 1 on           | 77      | 2     | 1      |
      | brittle from 1 on           | 105     | 2     | 1      |
      | not brittle                 | 115     | 0     | 4      |

  Scenario: An instance that grants places is killed
    Given 4 plain upstreams of 4 places at 0.25 s, brittle from 1 on, and 3 entry instances
    When 105 requests a second are sent for 14 seconds, and entry-3 is killed after 5
    Then at most 2 of the upstreams fall over

  Scenario: The places that a killed instance granted stay in use
    Given 4 plain upstreams of 4 places at 0.25 s, not brittle, and 3 entry instances
    When 70 requests a second are sent for 14 seconds, a holder of places killed after 5
    Then the other instances are served 42 requests a second from 6 to 10

  Scenario: Upstreams with fewer places than there are instances
    Given 2 plain upstreams of 1 places at 0.1 s, brittle from 1 on, and 4 entry instances
    When 40 requests a second are sent for 10 seconds
    Then at most 2 of the upstreams fall over

  Scenario: Places of an instance that starts again are not lost
    Given 1 plain upstreams of 2 places at 1.0 s, not brittle, and 2 entry instances
    When entry-2 is killed with requests in flight and starts again, 3 times
    Then within 6 seconds entry-1 serves 2 requests at the same time
