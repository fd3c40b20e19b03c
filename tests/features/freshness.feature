@no_fleet
Feature: What an instance says of routes and keys is not outdated

  Documents are in force within 2 s, and revoked keys end within 4 s.

  Scenario Outline: Nothing is denied that a newer document may allow
    Given a document that was confirmed as the newest <age> seconds ago
    When a client sends a request with <what>
    Then its answer is <status>

    Examples:
      | age | what                 | status    |
      | 0.5 | a known key          | forwarded |
      | 0.5 | an unknown key       | 401       |
      | 0.5 | an unknown path      | 404       |
      | 1.5 | an unknown path      | 404       |
      | 1.9 | an unknown key       | 503       |
      | 1.9 | an unknown path      | 503       |
      | 3.0 | an unknown path      | 503       |
      | 3.0 | a known key          | forwarded |
      | 3.0 | no key, as it may    | forwarded |
      | 4.5 | a known key          | 503       |
      | 4.5 | no key, as it may    | forwarded |

  Scenario Outline: Before the first document clients are told when to return
    Given an instance that started <age> seconds ago, without one
    When 20 clients send requests
    Then each is answered 503 and may return after <low> to <high> seconds
    And they don't all return within 0.2 seconds

    Examples: an election takes up to 1.2 s, the first document 0.4 s more
      | age | low | high |
      | 0.1 | 1.5 | 1.9  |
      | 1.0 | 0.6 | 1.0  |
      | 9.0 | 0.3 | 0.7  |
