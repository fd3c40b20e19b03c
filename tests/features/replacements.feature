@no_fleet
Feature: The log survives a loss at any moment of a replica's replacement

  Background:
    Given 3 replicas of a platform that hold document 10

  Scenario Outline: Power and a disk lost after a planned replacement
    When replica-4 starts <ahead> seconds ahead of SIGTERM to <old>
    And <after> seconds later all others lose power and <victim> its disk
    Then within 12 seconds document 10 is read back
    And document 11 is acknowledged by the replicas that are left
    And the stopped replicas exited by themselves within 8 seconds

    Examples:
      | ahead | old        | after | victim     |
      | 4.0   | a follower | 0.3   | a follower |
      | 4.0   | a follower | 2.0   | the leader |
      | 4.0   | a follower | 6.0   | a follower |
      | 1.0   | a follower | 0.3   | the leader |
      | 4.0   | the leader | 0.3   | a follower |
      | 4.0   | the leader | 2.0   | a follower |
      | 4.0   | a follower | 0.3   | replica-4  |

  Scenario: Power and a disk lost 4 s after the successor of a lost replica
    When a follower is lost for good and replica-4 starts
    And 4 seconds later all others lose power and a follower its disk
    Then within 12 seconds document 10 is read back
    And document 11 is acknowledged by the replicas that are left

  Scenario: Four replacements in a row while operators lose their answers
    When operators send documents and lose half of the answers
    And 4 replicas are replaced one after the other
    And 0.3 seconds later all others lose power and a follower its disk
    Then within 12 seconds the last acknowledged document is read back
    And the stopped replicas exited by themselves within 8 seconds

  Scenario Outline: A replica that restarts without a successor keeps its vote
    When a follower gets SIGTERM <after> seconds after document 10
    Then it exits within <limit> seconds and reports: keeps its vote
    When this replica is started again
    And a follower is killed
    Then document 11 is acknowledged by the replicas that are left

    Examples: a new leader waits for 1 s for replicas that it has not met
      | after | limit |
      | 0     | 2.5   |
      | 2     | 1.5   |

  Scenario: A successor that dies while it takes over
    When replica-4 starts 2.0 seconds ahead of SIGTERM to a follower
    And replica-4 is killed at once and its disk is lost
    Then the stopped replicas exited by themselves within 8 seconds
    And document 11 is acknowledged by the replicas that are left

  Scenario: Two replicas stop at once and have one successor
    When replica-4 starts 2.0 seconds ahead of SIGTERM to both followers
    Then the stopped replicas exited by themselves within 8 seconds
    And document 11 is acknowledged by the replicas that are left
