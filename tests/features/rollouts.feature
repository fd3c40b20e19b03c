@no_fleet
Feature: Rollouts move a service to a new version, and back if it is bad

  # Guards against a verdict that is late, or that takes chance, one upstream
  # or a cold start for a fault of the version.
  Scenario Outline: The verdict on a version, and its exposure
    When 20 rollouts of 12 s at <rate> requests a second see "<history>"
    Then each is <state> within its bounds

    Examples:
      | history                  | rate | state       |
      | good                     | 300  | completed   |
      | good                     | 20   | completed   |
      | failing at once          | 300  | rolled_back |
      | failing at once          | 2000 | rolled_back |
      | failing seldom           | 300  | rolled_back |
      | failing one time in ten  | 300  | rolled_back |
      | failing rarely           | 300  | any         |
      | failing later            | 300  | rolled_back |
      | failing at the end       | 300  | any         |
      | failing at the end       | 2000 | any         |
      | slow                     | 300  | rolled_back |
      | failing on one route     | 300  | rolled_back |
      | one failing upstream     | 300  | completed   |
      | an unlucky streak        | 300  | completed   |
      | a cold start             | 300  | completed   |
      | both versions fail       | 300  | completed   |
      | a background of failures | 300  | completed   |
      | old servers slow in turn | 300  | completed   |

  # Guards against requests at a version that a rollout does not allow.
  Scenario Outline: Versions that an entry instance may use
    Given a rollout of v2 that is <state>, confirmed <age> s ago
    Then <part> of the requests may go to v2, and <old> to v1

    Examples:
      | state       | age  | part | old  |
      | running     | 0.1  | 0.05 | 0.95 |
      | running     | 1.6  | 0    | 1    |
      | rolled_back | 60.0 | 0    | 1    |
      | completed   | 60.0 | 1    | 0    |

  # Guards against a stream that goes on at another version, or at one that
  # is out of service.
  Scenario: Streams stay at the version that began them
    Given a rollout of v2 that is running, confirmed 0.1 s ago
    Then a stream of v1 and one of v2 go on at their versions
    When the rollout is rolled_back
    Then a stream of v2 can't go on

  # Guards against an upstream of a target that is used before the rollout is
  # known.
  Scenario: An upstream of a version that is not in the configuration
    Given a rollout of v2 that is running, confirmed 0.1 s ago
    Then an upstream of v3 gets no request

  # Guards against reports that grow with the rollout, and against a new leader
  # that decides without the requests before it.
  Scenario: A leader gets each count once, and a new leader gets all
    When an instance that reports to a leader is told of another one
    Then the second leader knows as many requests as the first one
    And the last report to each held only what had changed

  # Guards against a command that takes the only version out of service, and
  # against versions that come back by a later command for another one.
  Scenario Outline: What a command makes of the versions before it
    When <target> is rolled out after <last>, with <versions> in the log
    Then it is <state>, and denies <denied>

    Examples:
      | target | last           | versions    | state     | denied  |
      | v2     | nothing        | v1          | running   | nothing |
      | v2     | nothing        | v1 v2       | running   | nothing |
      | v1     | nothing        | v1          | completed | nothing |
      | v3     | v2 completed   | v1 v2       | running   | v1      |
      | v1     | v2 completed   | v1 v2       | running   | nothing |
      | v2     | v2 rolled_back | v1 v2       | running   | nothing |
      | v3     | v2 rolled_back | v1 v2       | running   | v2      |
      | v3     | v2 rolled_back | v1          | running   | nothing |

  # Guards against a deadline that a clock which steps moves without bound.
  Scenario Outline: A leader whose clock differs
    When a leader whose clock is <offset> s off takes up a rollout of 12 s
    Then it completes after <least> to <most> s

    Examples:
      | offset | least | most |
      | 0      | 11    | 12   |
      | 5      | 6     | 7    |
      | 1000   | 1.2   | 2    |
      | -1000  | 11    | 12   |

  # Guards against bad versions that stay, and exposure over the bound.
  Scenario: A bad version is rolled back
    Given a platform with rollouts
    When v2 of "plain" is rolled out in 10 s, with servers that fail half
    Then the rollout is rolled_back within 10 s
    And the servers of v2 got few requests, and none afterwards

  Scenario: A slow version is rolled back
    Given a platform with rollouts
    When v2 of "plain" is rolled out in 10 s, with servers that are slow
    Then the rollout is rolled_back within 10 s
    And the servers of v2 got few requests, and none afterwards

  # Guards against rollouts that end late, and against lost requests.
  Scenario: A good version is completed
    Given a platform with rollouts
    When v2 of "plain" is rolled out in 10 s, with servers that are sound
    Then the rollout is completed within 10 s
    And only the servers of v2 get requests afterwards

  # Guards against a rollout that ends with its leader.
  Scenario Outline: The leader is killed meanwhile
    Given a platform with rollouts
    When v2 of "plain" is rolled out in 10 s, with servers that <are>
    And the leader is killed after 2 s
    Then the rollout is <state> within 10 s

    Examples:
      | are       | state       |
      | fail half | rolled_back |
      | are sound | completed   |

  # Guards against an acknowledged command that is lost.
  Scenario: All processes are killed after the acknowledgement
    Given a platform with rollouts
    When v2 of "plain" is rolled out in 60 s, and all processes are killed
    Then the rollout is running after they have started again

  # Guards against commands that change something though they are refused.
  Scenario: Commands that are invalid, repeated or in conflict
    Given a platform with rollouts
    Then invalid commands are answered 400 and change nothing
    And a repeated command is answered 200, and one with another target 409

  # Guards against an effect on deployments that do not use rollouts.
  Scenario: A platform without rollouts
    Given a platform with 3 replicas, 2 entry instances and 5 servers
    Then commands and questions for rollouts are answered 404
