@no_fleet
Feature: Instances know the fleet's load for any number of instances

  Scenario Outline: Everyone knows what all have in flight
    Given <instances> entry instances in <domains> failure domains
    When each of them sends 5 requests to one of 20 engines
    And the instances exchange messages for 2 seconds
    Then each of them knows the whole load on every engine
    And each of them knows which engines hold the shared parts
    And no instance read more than <messages> messages in a second

    Examples:
      | instances | domains | messages |
      | 2         | 1       | 200      |
      | 8         | 3       | 250      |
      | 64        | 4       | 350      |
      | 300       | 3       | 350      |

  Scenario Outline: Relays are lost
    Given 64 entry instances in 4 failure domains
    When each of them sends 5 requests to one of 20 engines
    And the instances exchange messages for 2 seconds
    And the <which> relays of all groups are lost without notice
    And the instances exchange messages for 4 seconds
    Then each of them knows the whole load on every engine

    Examples:
      | which  |
      | first  |
      | second |

  Scenario: Outcomes count once, wherever they were seen
    Given 64 entry instances in 4 failure domains
    When every instance records 2 good and 1 bad outcome of an engine
    And the instances exchange messages for 1 seconds
    Then each of them counts 128 good and 64 bad outcomes once

  Scenario: A load that ends is forgotten everywhere
    Given 64 entry instances in 4 failure domains
    When each of them sends 5 requests to one of 20 engines
    And the instances exchange messages for 2 seconds
    And all requests end
    And the instances exchange messages for 2 seconds
    Then each of them knows the whole load on every engine
