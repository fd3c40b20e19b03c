Feature: A caller gets its complete answer although connections and engines fail

  Scenario Outline: A dropped stream is taken up on any instance
    When a caller drops a stream at a1 after 6 events
    And it resumes the stream at <name>
    Then it has every token once and in order

    Examples:
      | name |
      | a1   |
      | a2   |
      | c2   |

  Scenario: The owner of a dropped stream is killed
    When a caller drops a stream at b2 after 6 events
    And the process b2 is killed
    And it resumes the stream at c1
    Then it has every token once and in order

  Scenario: The engine is killed in the middle of a stream
    When a caller streams a long chat at a1 and its engine is killed
    Then the long answer is complete

  Scenario: The engine freezes in the middle of a stream
    Given the cell services stringmind first_token_seconds is 1.5
    When a caller streams a long chat at a2 and its engine freezes
    Then the long answer is complete

  Scenario: The connection to the engine breaks and the engine lives
    When a caller streams a long chat at b1 and its engine's link is cut
    Then the long answer is complete

  Scenario: A caller that stays away has its engine stream cancelled
    When a caller drops a long stream at c1 after 6 events
    Then an engine counts a cancelled stream

  Scenario: A stream belongs to its account only
    When a caller drops a stream at a1 after 6 events
    And another account resumes the stream at a1
    Then it gets no event of the stream

  Scenario: Late answers never reach another caller
    When 12 callers stream different chats at once while links to engines are cut
    Then each of them has its own complete answer or an explicit error
