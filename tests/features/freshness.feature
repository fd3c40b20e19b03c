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
