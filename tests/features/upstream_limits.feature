@no_fleet
Feature: Upstreams get no more requests than they say they take

  Scenario Outline: An upstream that names a limit gets no more, others the rest
    Given 2 upstreams of a service that has <kind>
    And upstream 1 answers with <answer> and Server-Limit: 2
    When the instance has run for 2.1 seconds
    And requests are sent for 5 seconds
    Then upstream 1 got at least 6 requests, at most 17 within any 4 seconds
    And each of these requests was answered by an upstream

    Examples: one and a half times the limit, and 5; most of the limit
      | kind       | answer                   |
      | no engines | status 200               |
      | engines    | status 200               |
      | engines    | status 503 without a run |

  Scenario: An upstream has its share again once it names no limit any more
    Given 2 upstreams of a service that has no engines
    And upstream 1 answers with status 200 and Server-Limit: 2
    When the instance has run for 2.1 seconds
    And requests are sent for 1 seconds
    And upstream 1 answers normally and registers again
    And requests are sent for 2 seconds
    And 200 requests are sent one after the other
    Then upstream 1 got from 80 to 120 of the last 200 requests

  Scenario: What a limited upstream leaves waits for places at busy ones
    Given 2 upstreams of a service that has no engines
    And upstream 1 answers with status 200 and Server-Limit: 0.2
    And upstream 2 runs 1 request at once, for 0.05 seconds
    When the instance has run for 2.1 seconds
    And requests are sent until upstream 1 has got one
    And 6 requests are sent at the same time
    Then each of these requests was answered by an upstream

  Scenario: What no upstream takes is refused at once, with the true time
    Given 2 upstreams of a service that has no engines
    And upstream 1 answers with status 200 and Server-Limit: 2
    And upstream 2 answers with status 200 and Server-Limit: 1
    When the instance has run for 2.1 seconds
    And a request is sent
    And a request is sent
    And 30 requests are sent at the same time
    Then each of these requests was refused within 0.1 seconds
    And each got a Retry-After from 0.1 to 31 seconds, and 20 different ones

  Scenario: A request under way when a limit is named needs a permit
    Given 1 upstreams of a service that has engines
    And upstream 1 answers with status 200 and Server-Limit: 0.2
    When a request is sent
    And 20 requests are sent at the same time
    Then upstream 1 got 1 request

  Scenario: An instance that knows no holder refuses at once
    Given 1 upstreams of a service that has no engines
    And upstream 1 answers with status 200 and Server-Limit: 2
    When a request is sent
    And the instance is cut off from the replicas for 6 seconds
    And 5 requests are sent at the same time
    Then each of these requests was refused within 0.1 seconds

  Scenario: Holders of upstreams that are gone are not kept
    Given 8 instances that want 1 requests a second each
    When one of them looks up the holders of 1000 upstreams, and one is left
    Then it keeps the holders of 1 upstream

  Scenario Outline: Only sound limits count
    When an answer of status <status> names <value> in Server-Limit
    Then a limit of <limit> is read, with <lines> lines in the log

    Examples:
      | status | value | limit   | lines |
      | 200    | 3.75  | 3.75    | 0     |
      | 503    | 0     | 0       | 0     |
      | 500    | 12    | 12      | 0     |
      | 200    | -1    | unknown | 1     |
      | 200    | nan   | unknown | 1     |
      | 200    | inf   | unknown | 1     |
      | 200    | few   | unknown | 1     |

  Scenario: An answer from before a limit was named does not lift it
    Given an upstream named a limit of 2 to an instance
    When an answer without a limit arrives to a request sent before
    Then the upstream takes 2 requests a second
    When an answer without a limit arrives to a request sent after
    Then the upstream takes any number of requests a second

  Scenario: The limit of an incarnation does not bind the next one
    Given an upstream named a limit of 2 to an instance
    When the upstream starts again
    Then the upstream takes any number of requests a second

  Scenario Outline: All instances learn of a limit and of its end
    Given <instances> entry instances in 4 failure domains
    When one of them hears that an engine takes 2 requests a second
    And the instances exchange messages for 1 seconds
    Then each of them knows that it takes 2 requests a second
    When another one hears that it names no limit any more
    And the instances exchange messages for 1 seconds
    Then each of them knows that it takes any number
    And no instance read more than <bytes> bytes on limits

    Examples:
      | instances | bytes |
      | 8         | 1000  |
      | 64        | 5000  |
      | 300       | 14000 |

  Scenario Outline: The fleet keeps a limit and uses most of it
    Given <instances> instances that want <wanted> requests a second each
    When an upstream that takes <rate> a second is used for 40 seconds
    Then it got at most <most> requests within any <window> seconds
    And it got at least 75% of what it takes

    Examples: one and a half times the rate, and 5
      | instances | wanted | rate | window | most |
      | 1         | 10     | 2    | 4      | 17   |
      | 8         | 6      | 3.5  | 4      | 26   |
      | 200       | 1.4    | 2.3  | 4      | 18   |
      | 200       | 0.1    | 0.5  | 4      | 8    |
      | 62        | 2      | 14   | 1      | 26   |

  Scenario Outline: A limit is kept while <event>
    Given 200 instances that want 1.4 requests a second each
    When an upstream that takes 2.3 a second is used for 60 seconds, while <event>
    Then it got at most 18 requests within any 4 seconds
    And it got at least 50% of what it takes

    Examples:
      | event                                      |
      | instances are killed and start again       |
      | instances are gone for good                |
      | instances join                             |
      | instances are cut off from the replicas    |
      | holders are frozen                         |
      | the replicas restart                       |
