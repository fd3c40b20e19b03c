@no_fleet
Feature: Client accounts are served whatever their names

  # The header with the name was encoded as Latin-1: of other accounts every
  # connection was closed without an answer.
  Scenario: Names that a header can't hold, with real processes
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When a document adds client accounts with odd names
    Then each of them is served by both entry instances
    And upstreams got the names in distinct forms, the same from both instances
    And names that a header can hold arrived unchanged

  Scenario: Header values of drawn names
    Then each of 500 drawn sets of names has distinct header values that arrive as sent
