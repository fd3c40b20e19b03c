@no_fleet
Feature: A stream goes on at the software version that began it

  Scenario: The engine of a stream dies
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When 16 streams begin at entry-1, and one engine of each version is killed
    Then each stream holds events of one version only
    And at least 14 streams are complete

  Scenario: The instance of a stream dies, and its client returns to another
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When 16 streams begin at entry-1, and it is killed
    And their clients take them up at entry-2
    Then each stream holds events of one version only
    And at least 14 streams are complete

  Scenario Outline: All entry instances die, and their clients return
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When 16 streams begin at entry-1, and <event>
    And their clients take them up at entry-2
    Then each stream holds events of one version only
    And at least 14 streams are complete

    Examples:
      | event                                              |
      | all entry instances start again                    |
      | all entry instances start again without replica-1  |

  # Origins were kept in memory only.
  Scenario Outline: All processes but the engines die, and clients return
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When 16 streams begin at entry-1, and all instances start again <times>
    And their clients take them up at entry-2
    Then each stream holds events of one version only
    And at least 14 streams are complete

    Examples:
      | times             |
      | once              |
      | twice             |
      | without replica-2 |

  # The origins of streams that had just begun were not on a disk yet.
  Scenario: All processes but the engines die as streams have just begun
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When 16 streams begin at entry-1, and all instances are killed at their first events
    And their clients take them up at entry-2
    Then each stream holds events of one version only
    And at least 14 streams are complete

  Scenario: No engine of the version that began a stream is left
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When 16 streams begin at entry-1, and both engines of v1 are killed
    And their clients take them up at entry-2
    Then each stream holds events of one version only
    And each stream of v1 was refused at once

  Scenario: It is not known where a stream began
    Given a platform with 2 entry instances and 2 engines each of v1 and v2
    When a client takes up a stream at entry-2 that it did not begin
    Then it was refused at once and reached no engine

  Scenario Outline: A client that does not say which request began its stream
    Given a service with upstreams <upstreams>
    When a client takes up a stream without naming its first request
    Then the stream is <answer>

    Examples:
      | upstreams                                          | answer     |
      | of version v1 only                                 | sent to v1 |
      | of the versions v1 and v2                          | refused    |
      | of version v1 whose upstreams of v2 left 30 s ago  | refused    |
      | of version v1 whose upstreams of v2 left 90 s ago  | sent to v1 |
      | of version v1 whose upstreams of v2 were lost 30 s ago | refused |
      | of version v1 only, and no replica answered for 6 s | refused   |
      | of version v1 whose upstreams of v2 left 30 s ago, and the instance starts | refused |
      | of version v1 only, and the instance starts         | refused    |
      | of version v1 whose upstreams of v2 left 30 s ago, and the instance starts and asks the replica | refused |
      | of version v1 only, and the instance starts and asks the replica | sent to v1 |
      | of version v1 only, and replica and instance start, and it asks the replica | refused |
      | of version v1 only, and the instance starts and asks all but a lost replica | refused |

  Scenario Outline: The keepers of an origin find it for all, whatever is lost
    Given <instances> instances that keep where streams began
    When 200 streams begin at instances drawn by lot
    And of these instances <event>
    Then at least <share>% of the origins are found at instances drawn by lot
    And none is found with another version
    And no stream took more than <calls> calls to store or to find

    Examples:
      | instances | event                            | share | calls |
      | 8         | none is lost                       | 100   | 9     |
      | 200       | none is lost                       | 100   | 9     |
      | 200       | the first of each stream dies      | 100   | 9     |
      | 200       | those of a failure domain are cut off | 100 | 9    |
      | 200       | 20 leave and 20 others join        | 95    | 9     |
      | 200       | half die                           | 80    | 9     |

  Scenario: A stream with two origins has none
    Given 1 instances that keep where streams began
    When two versions claim the same stream
    Then its origin is not known

  Scenario: Kept origins are bounded
    Given 1 instances that keep where streams began
    When 30000 streams begin within a second
    Then at most 10000 origins are kept
    And after 200 seconds a new stream leaves 1

  Scenario Outline: Origins on the disk of a replica
    Given a replica that stored the origins of streams 1 to 3
    When <event>
    Then its next process finds the origins of streams <streams>

    Examples:
      | event                                               | streams     |
      | it is killed                                        | 1, 2, 3     |
      | its last record is torn                             | 1, 2        |
      | its last record is torn and it stores stream 4      | 1, 2, 4     |
      | two processes start and store streams 4 and 5       | 1, 2, 3, 4, 5 |
      | its disk fails once and it stores stream 4          | 1, 2, 3, 4  |
      | it stores stream 4 after 130 s                      | 1, 2, 3, 4  |
      | it stores stream 4 after 130 s and 5 after 260 s    | 4, 5        |

  Scenario: Instances of older builds get registrations without a version
    Given an upstream of version v1.2 is registered
    Then an instance that reads versions gets v1.2
    And an instance of an older build can read the reply

  Scenario: A chat of the own interface stays at the version that began it
    Given engines of the versions v1 and v2 on the own interface
    When a chat that v1 began needs another engine
    Then it gets one of v1, also where v2 has more room
    When the engines of v1 leave
    Then it is refused at once, since no engine of its version is left

  Scenario: An answer of the own interface is bound by its first event
    When an engine of version v2 sends the first event of an answer
    Then the answer may go on at v2 only

  Scenario: Versions reach instances beside those of older builds
    When an instance sends an upstream of version v1.2 to another one
    Then the other one knows the version
    And an older build can read the exchange
    When an older build passes the upstream on without its version
    Then the other one knows the version
