@no_fleet
Feature: An order that comes late does not undo a newer one

  Background:
    Given a platform with 3 replicas, 2 entry instances and 5 servers

  Scenario: A change of a failure domain can be traced
    When zone-b is taken out by way of replica-2
    Then every replica logs who asked, and the version before
    And every entry instance logs that it obeys
