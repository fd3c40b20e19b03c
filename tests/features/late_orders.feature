@no_fleet
Feature: An order that comes late does not undo a newer one

  Scenario: A replica that is frozen as an order arrives
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When each order for each failure domain is left at a frozen follower, resent and undone
    Then after each the last acknowledged order is in force everywhere

  Scenario: A leader that is frozen as an order arrives
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When each order for each failure domain is left at the frozen leader, resent and undone
    Then after each the last acknowledged order is in force everywhere

  Scenario: An order that its link to the replica held back
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When each order for each failure domain arrives 1.5 seconds late, resent and undone before
    Then after each the last acknowledged order is in force everywhere
    And each late order is answered 503

  Scenario: A change of a failure domain can be traced
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When zone-b is taken out by way of replica-2
    Then every replica logs who asked, and the version before
    And every entry instance logs that it obeys

  Scenario Outline: An order that the link to the leader held back
    When an order to <order>, given up after <seconds> s and undone, reaches the leader late, and <event>
    Then the last acknowledged order is in force at every replica

    Examples:
      | order     | seconds | event                   |
      | evacuate  | 1.0     | nothing else happens    |
      | take back | 1.0     | nothing else happens    |
      | evacuate  | 0.3     | nothing else happens    |
      | take back | 0.3     | nothing else happens    |
      | evacuate  | 1.0     | the leader starts again |
      | take back | 1.0     | the leader starts again |
      | evacuate  | 1.0     | its replica is cut off  |
      | take back | 0.3     | its replica is cut off  |

  Scenario: A command that its submitter gave up is not written later
    When a leader with a slow disk gets a command that is given up at once
    Then it writes only the command before

  Scenario Outline: A copy of another write that comes late changes nothing
    When the state gets a late copy of <write>
    Then rows, claims and documents stay as they are

    Examples:
      | write                             |
      | a document after a newer one      |
      | a row change after a newer one    |
      | a new row after its removal       |
      | a claim after its abandonment     |
      | a settlement after a later one    |

  Scenario: An order whose caller has left is not carried out
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When zone-b is out and 20 callers of the reverse order leave a paused replica
    Then no replica has taken zone-b back

  Scenario: Orders that follow each other at once are all acknowledged
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When zone-b is taken out and back 20 times, at another replica each time
    Then each order is acknowledged within 1 second
    And an order that is sent again is acknowledged again
