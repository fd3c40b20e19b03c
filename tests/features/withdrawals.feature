@no_fleet
Feature: Upstreams that leave or want a pause get nothing more

  Scenario Outline: An upstream that says that it leaves gets no new request
    Given 2 upstreams of a service that has <kind>
    And upstream 1 answers with <answer> and Server-Leaving: 1
    When requests are sent until upstream 1 has got one
    And 12 requests are sent at the same time
    Then upstream 1 got 1 request
    And each of the 12 requests was answered 200 by upstream 2
    When upstream 1 registers a new incarnation and answers normally
    And 12 requests are sent at the same time
    Then upstream 1 got more than 1 request

    Examples:
      | kind        | answer                    |
      | no engines  | status 200                |
      | no engines  | status 500                |
      | no engines  | status 503 without a run  |
      | engines     | status 200                |
      | engines     | status 500                |
      | engines     | status 503 without a run  |

  Scenario: A rejection with a pause keeps every request away for so long
    Given 2 upstreams of a service that has no engines
    And upstream 1 answers with status 503 without a run and Retry-After: 0.8
    When requests are sent until upstream 1 has got one
    And requests are sent for 0.6 seconds
    Then upstream 1 got 1 request
    And each of these requests was answered 200 by upstream 2
    When requests are sent for 0.9 seconds
    Then upstream 1 got more than 1 request

  Scenario Outline: An upstream that rejects without a pause is left to others
    Given 2 upstreams of a service that has <kind>
    And upstream 1 answers with status 503 without a run and Note: full
    When 60 requests are sent one after the other
    Then upstream 1 got at most 12 requests
    And each of these requests was answered 200 by upstream 2

    Examples:
      | kind       |
      | no engines |
      | engines    |

  Scenario: If every upstream wants a pause, the client gets the true time
    Given 2 upstreams of a service that has no engines
    And upstream 1 answers with status 503 without a run and Retry-After: 1.5
    And upstream 2 answers with status 503 without a run and Retry-After: 0.8
    When a request is sent
    And 40 requests are sent at the same time
    Then each of these requests was refused within 0.1 seconds
    And each got a Retry-After from 0.5 to 1.1 seconds, and 20 different ones
    And upstream 1 got 1 request
    And upstream 2 got 1 request

  Scenario: A pause ends early only with a new incarnation
    Given 1 upstreams of a service that has no engines
    And upstream 1 answers with status 503 without a run and Retry-After: 30
    When a request is sent
    And upstream 1 answers normally and registers again
    And a request is sent
    Then upstream 1 got 1 request
    When upstream 1 registers a new incarnation and answers normally
    And a request is sent
    Then upstream 1 got 2 requests

  Scenario: Pauses of upstreams that are gone are not kept
    When 1000 upstreams want a pause of 1 second, one every second
    Then at most 2 pauses are kept

  Scenario Outline: A chosen request that waits is not sent after all
    Given 2 upstreams of a service that has engines
    When a request waits for a prefill on its engine, which <event>
    Then the request goes to the other engine and takes no retry

    Examples:
      | event            |
      | leaves           |
      | wants a pause    |
      | is evacuated     |

  Scenario Outline: Nothing that waited reaches an evacuated failure domain
    Given 2 upstreams of a service that has no engines
    When a request waits for a <what>, as its upstream is evacuated
    Then the request goes to the other engine and takes no retry

    Examples:
      | what              |
      | place or a permit |
      | connection        |

  Scenario: A key that is revoked while its request waits is not used
    Given 2 upstreams of a service that has engines
    When a request waits for a prefill on its engine, and its key is revoked
    Then the request is answered 503 and reaches no upstream

  Scenario: A pause that begins while a connection is made holds
    Given an upstream that accepts connections
    When a request is withdrawn while its connection is made
    Then it is not sent, and the upstream read nothing

  Scenario: A failed lookup is repeated at another upstream
    Given 3 upstreams of a service that has no engines
    And every upstream answers with status 500
    When 20 requests are sent one after the other
    Then each of them reached 2 different upstreams

  Scenario Outline: Only sound values of the headers count
    When an answer of status <status> has <header>: <value>
    Then it is read as <reading>, with <lines> lines in the log

    Examples:
      | status | header         | value                         | reading   | lines |
      | 200    | server-leaving | 1                             | leaving   | 0     |
      | 500    | server-leaving | 1                             | leaving   | 0     |
      | 200    | server-leaving | 0                             | nothing   | 0     |
      | 200    | server-leaving | yes                           | nothing   | 1     |
      | 200    | server-leaving | -1                            | nothing   | 1     |
      | 503    | retry-after    | 2                             | pause 2   | 0     |
      | 503    | retry-after    | 0.25                          | pause .25 | 0     |
      | 503    | retry-after    | 0                             | nothing   | 0     |
      | 503    | retry-after    | -3                            | nothing   | 1     |
      | 503    | retry-after    | nan                           | nothing   | 1     |
      | 503    | retry-after    | inf                           | nothing   | 1     |
      | 503    | retry-after    | 1e9                           | nothing   | 1     |
      | 503    | retry-after    | Wed, 21 Oct 2026 07:28:00 GMT | nothing   | 1     |
      | 200    | retry-after    | 2                             | nothing   | 0     |
      | 429    | retry-after    | 2                             | nothing   | 0     |

  Scenario Outline: All instances learn of a departure within a second
    Given <instances> entry instances in 4 failure domains
    When one of them learns that an engine leaves
    And the instances exchange messages for 1 seconds
    Then each of them takes that incarnation for leaving, and no later one
    And no instance read more than <messages> messages on departures

    Examples:
      | instances | messages |
      | 8         | 8        |
      | 64        | 24       |
      | 300       | 80       |
