@no_fleet
Feature: Malformed input changes nothing

  Scenario: Requests' heads with drawn faults
    When 300 requests with random faults of seed 1 reach a server
    Then each got a valid answer or none, and a valid request still gets 200

  Scenario: Documents with drawn faults
    Then each of 500 documents with random faults is read, or refused with a message

  Scenario: Registrations with drawn faults
    Then each of 500 registrations with random faults is read and can be encoded, or is refused

  # Numbers that fit into no message ended the process that exchanged them.
  Scenario: Announcements with drawn faults
    Then each of 500 announcements with random faults is exchanged, or refused

  Scenario: Usages that engines report with drawn values
    Then each of 300 usages that an engine may report is exchanged

  Scenario: Headers of clients with drawn values
    Then each of 500 requests with random headers is read, or refused with a status

  Scenario: An answer's header beyond ASCII is passed on as it came
    When a server answers with the header value Malmö
    Then the client gets it in Latin-1: Malmö

  Scenario Outline: Numbers in headers of answers that can't be used
    Then odd numbers in the header <name> of an answer change nothing

    Examples: by header
      | name           |
      | x-server-load  |
      | server-limit   |
      | server-leaving |
      | retry-after    |
