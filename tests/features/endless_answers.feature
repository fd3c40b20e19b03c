@no_fleet @alone
Feature: Answers without end neither end a process nor fill its memory

  Background:
    Given servers that answer without end, and machines of 96 MB and 256 descriptors

  Scenario: Answers without end to requests of many clients
    When 20 clients at a time request answers without end, of each kind
    Then entry-1 runs, and its memory and descriptors stayed in bounds
    And an ordinary request to entry-1 is answered 200

  Scenario: Answers without end to health checks
    When for 10 seconds, health checks are answered without end
    Then entry-1 runs, and its memory and descriptors stayed in bounds
    And an ordinary request to entry-1 is answered 200
