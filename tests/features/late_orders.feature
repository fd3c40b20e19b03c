@no_fleet
Feature: Orders of operators that come late take no effect

  Background:
    Given a platform with 3 replicas, 3 entry instances and 5 servers

  Scenario Outline: An order held back by <what> undoes no newer one
    When zone-<domain> is <state> and the reverse order is held back by <what>
    Then zone-<domain> stays <state> at every instance

    Examples:
      | what                | domain | state |
      | a paused replica    | a      | out   |
      | a paused replica    | b      | out   |
      | a paused replica    | c      | in    |
      | the paused leader   | b      | out   |
      | the operator's link | b      | out   |
      | the operator's link | c      | in    |

  Scenario: An order whose caller has left is not carried out
    When zone-b is out and 20 callers of the reverse order leave a paused replica
    Then zone-b stays out at every instance
    And no replica has taken zone-b back

  Scenario: Orders that follow each other at once are all acknowledged
    When zone-b is taken out and back 20 times, at another replica each time
    Then each order is acknowledged within 1 second
    And an order that is sent again is acknowledged again

  Scenario: A change of a failure domain leaves a line wherever it takes effect
    When zone-b is taken out
    Then each replica logs the change, who asked for it and the version before
    And each entry instance logs that zone-b is out
