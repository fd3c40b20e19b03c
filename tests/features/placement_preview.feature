@no_fleet
Feature: An operator sees where a request would go, without sending it

  # A preview that decides by itself would show another upstream.
  Scenario: The preview names the upstream that then gets the request
    Given a platform with 2 entry instances and 2 engines of v1
    When an operator asks where a request with the part ab12 would go
    Then the next request with the part ab12 goes there
    And no upstream got a request of the preview

  Scenario: No route matches
    Given a platform with 2 entry instances and 2 engines of v1
    When an operator asks where a request to an unknown host would go
    Then the command ends with exit code 1 and names the host
