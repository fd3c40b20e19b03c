@no_fleet @alone
Feature: Clients that exceed the limits neither end nor hang a process

  Background:
    Given a platform whose machines have 96 MB and 256 descriptors

  # Bodies, bytes read ahead and parsed heads were kept without a common bound.
  Scenario Outline: A crowd at an entry instance
    When 40 clients send <kind> to entry-1 and stay connected
    Then entry-1 runs, and its memory and descriptors stayed in bounds
    And an ordinary request to entry-1 is answered 200

    Examples: by what they send
      | kind                               |
      | announced bodies                   |
      | chunks of one byte                 |
      | chunks of 64 KB                    |
      | pipelined requests                 |
      | pipelined requests behind a stream |
      | streams that are not read          |
      | heads of many headers              |

  # Registrations and documents are lost if a crowd ends a replica.
  Scenario Outline: A crowd at a replica's control port
    When 40 clients send <kind> to replica-1 and stay connected
    Then replica-1 runs, and its memory and descriptors stayed in bounds
    And replica-1 answers an operator's request with 200

    Examples: by what they send
      | kind               |
      | announced bodies   |
      | chunks of one byte |
      | chunks of 64 KB    |

  # Without descriptors an instance reaches neither clients nor upstreams.
  Scenario: More connections than a machine has descriptors
    When 400 clients send no bytes to entry-1 and stay connected
    Then entry-1 runs, and its memory and descriptors stayed in bounds
    And an ordinary request to entry-1 is answered 200
