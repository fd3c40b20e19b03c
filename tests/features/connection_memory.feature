@no_fleet
Feature: Which connections may hold memory, and which are closed for it

  # A crowd of unfinished bodies took the memory of those that came after it.
  Scenario: The request that has held the most for the longest is closed first
    Given memory of 1000 kB for connections
    When "old" holds 600 kB for 5 s and "young" 300 kB for 1 s
    Then "new" may hold 150 kB, and "old" is closed for it

  # A newcomer that takes the most itself must not close the others.
  Scenario: A request that holds more than all others is refused itself
    Given memory of 1000 kB for connections
    When "small" holds 100 kB for 1 s and "large" 700 kB for 5 s
    Then "large" may not hold 400 kB more, and nothing is closed

  # Requests of other instances and running ones were closed for clients.
  Scenario Outline: What is never closed for another connection
    Given memory of 1000 kB for connections
    When "old" holds 900 kB for 5 s as one that is <kind>
    Then "new" may not hold 150 kB, and nothing is closed

    Examples:
      | kind     |
      | internal |
      | served   |

  # Large bodies at slow upstreams left no room for ordinary requests.
  Scenario: Large requests leave room for ordinary ones
    Given memory of 1000 kB for connections
    When "old" holds 700 kB for 5 s as one that is served
    Then "large" may not hold 280 kB, and nothing is closed
    And "new" may hold 150 kB, and nothing is closed for it

  # Slow and idle clients kept all descriptors.
  Scenario Outline: A new connection takes the place of the least useful one
    Given room for 3 connections
    When they are <first>, <second> and <third>
    Then a new one is accepted, and <closed> is closed for it

    Examples:
      | first | second | third | closed  |
      | slow  | unused | idle  | slow    |
      | new   | unused | idle  | unused  |
      | new   | served | idle  | idle    |
      | new   | served | new   | new     |

  Scenario: A new connection is refused if all others are being served
    Given room for 3 connections
    When they are served, served and internal
    Then a new one is refused

  # What a closed connection held stayed counted, so that memory ran out.
  Scenario: Any order of charges, closes and ends leaves nothing counted
    Then 300 random sequences keep the sum within the bound and end with 0

  # The process and its growth were not left out of the machine's memory.
  Scenario Outline: Bounds follow from the size of the machine
    Then a machine of <mb> MB and <fds> descriptors gives <room> MB and <most> connections

    Examples:
      | mb  | fds  | room | most |
      | 200 | 1024 | 71.3 | 448  |
      | 96  | 256  | 22.8 | 96   |
      | 40  | 64   | 14.0 | 24   |
      | 0   | 0    | inf  | inf  |
