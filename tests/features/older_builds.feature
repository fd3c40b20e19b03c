@no_fleet
Feature: Older builds beside the new one, with real processes

  Scenario Outline: Instances of <old> are replaced by <new> under load
    Given a platform with 3 replicas, 2 entry instances and 3 servers, all of build <old>
    When requests are sent all the while
    And each instance is restarted with build <new>, one after the other
    Then each document was in force at both entry instances within 2 seconds
    And each order on a failure domain was obeyed within 2 seconds
    And each server that registered was reached within 2 seconds
    And no message was dropped as invalid, but for kinds that are new
    And every request to a running entry instance was served

    Examples:
      | old     | new     |
      | 1fc2f3c | new     |
      | new     | 1fc2f3c |
      | 71896a7 | new     |
      | new     | 71896a7 |
