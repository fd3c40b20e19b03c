@no_fleet
Feature: Numbers of tokens that clients claim end no instance and move no load

  # The sum did not fit into the notice of the load: the process that published
  # it ended. With one prompt each number fits, and only their sum does not.
  Scenario Outline: Absurd prompts at each entry instance, with real processes
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When each entry instance gets <count> prompts at once, of <parts> x 18 digits
    Then each of them is answered 200
    And no process ended, and both entry instances serve on

    Examples:
      | count | parts |
      | 1     | 20    |
      | 60    | 1     |

  Scenario: What a new instance gets does not end one of an older build
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    And entry-2 runs the build af14b49
    When 60 prompts of 18 digits reach entry-1 at once
    Then each of them is answered 200
    And no process ended, and both entry instances serve on

  Scenario: Drawn prompts of requests that begin and end
    Then the load of 300 drawn sequences of requests can be published, and none is left behind

  # Claimed tokens counted as work to be done, which other requests avoid.
  Scenario Outline: Absurd prompts turn no other request away from an engine
    Given 3 engines, on one of which a prompt of <tokens> tokens is running
    When 90 other prompts are sent one after the other
    Then each engine gets at least 15 of them

    Examples:
      | tokens             |
      | 250                |
      | 1000001            |
      | 999999999999999999 |

  # Older builds still add up what clients claim.
  Scenario Outline: Loads that an instance of an older build reports
    When an instance reports 3 requests and <reported> tokens on an upstream
    Then 3 requests and <counted> tokens are counted there

    Examples:
      | reported             | counted |
      | 36000                | 36000   |
      | 18446744073709551615 | 0       |
      | -9223372036854775808 | 0       |
