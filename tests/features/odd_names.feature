@no_fleet
Feature: Texts of documents that HTTP can't carry as they are

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

  # The error named a byte only.
  Scenario: A name that has no form is refused with the document
    Then a document with a lone surrogate in the name of account 2 is refused, and the error names "$.Tenants[1].Name"

  # A key beyond Latin-1 was compared with its UTF-8 read as Latin-1.
  Scenario: Keys that clients send in UTF-8
    Given a document with the keys "é", "鑰匙Ġ" and "Ã©" of three accounts
    Then a client that sends each key as a header can hold it has its account
    And the key "高" that no account has is unknown

  # Registrations of its upstreams were refused, so that it had none.
  Scenario Outline: A service with a name beyond Latin-1
    Given an upstream of the service "<service>"
    When a <kind> request is sent to it, <way>
    Then the upstream has answered it

    Examples:
      | service            | kind       | way                        |
      | sun☼               | booking    | directly                   |
      | sun☼               | booking    | by way of another instance |
      | 日                 | stream     | by way of another instance |
      | =?utf-8?B?5pel?=   | repeatable | by way of another instance |

  Scenario: Services with drawn names are handed over
    Then each of 500 drawn names of services is read as it was sent

  Scenario: Names of routes and services as labels of metrics
    Then the label "a\\b\"c\nd" appears as "a\\b\"c\nd" in the metrics

  # Probes are sent when no upstream answers. A path that is no valid target
  # ended the process that probed.
  Scenario: A health path that is no valid target, with real processes
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    When a document gives a service the health path "補 \r\n\0"
    And its servers stand still while clients send requests
    Then no process ended, and both entry instances serve on
    And the servers were asked for "/%E8%A3%9C%20%0D%0A%00"

  Scenario Outline: Health paths as targets
    Then the health path "<path>" is sent as "<target>"

    Examples:
      | path        | target      |
      | /health?a=b | /health?a=b |
      | /%41        | /%41        |
      |             | /           |
      | health      | /health     |
