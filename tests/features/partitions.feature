@no_fleet
Feature: Instances that reach no upstream serve their clients

  Scenario Outline: First tries are served while links to all upstreams fail
    Given 4 entry instances that reach 6 upstreams through a proxy
    When the links of <instances> instances to all upstreams are <fault> for 8 seconds
    Then they serve first tries nine tenths as often as the others
    And no unsafe request ran twice
    And no request that was refused ran

    Examples:
      | instances | fault  |
      | 1         | silent |
      | 2         | silent |
      | 1         | cut    |
      | 2         | cut    |
      | 1         | refuse |

  Scenario Outline: An instance by way of which requests go is lost
    Given 4 entry instances that reach 6 upstreams through a proxy
    When the links of 1 instances to all upstreams are silent for 11 seconds, and entry-2 is <event> after 4
    Then they serve first tries nine tenths as often as the others
    And no unsafe request ran twice
    And no request that was refused ran

    Examples:
      | event   |
      | killed  |
      | frozen  |
      | stopped |
      | cut off |

  Scenario Outline: No instance reaches any upstream
    Given 4 entry instances that reach 6 upstreams through a proxy
    When the links of 4 instances to all upstreams are <fault> for 8 seconds
    Then later first tries are refused within 0.3 seconds, with a Retry-After
    And no unsafe request ran twice
    And no request that was refused ran
    And all are served from 2 seconds after the end of the cut on

    Examples:
      | fault  |
      | silent |
      | cut    |

  Scenario: All upstreams are silent for a second
    Given 4 entry instances that reach 6 upstreams through a proxy
    When the links of 4 instances to all upstreams are silent for 1.2 seconds
    Then no instance takes upstreams for lost
    And all are served from 2 seconds after the end of the cut on

  Scenario Outline: Links to upstreams fail in part, or upstreams do
    Given 4 entry instances that reach 6 upstreams through a proxy
    When upstreams fail: <event> for 6 seconds
    Then no instance takes its links for lost
    And at least <served> of all first tries are served

    Examples:
      | event                                            | served |
      | one upstream after the other is silent for 1.2 s | 0.97   |
      | the upstreams of a failure domain are silent     | 0.6    |

  Scenario Outline: Whose fault it is that an upstream gives no answer
    Given an instance that <own>
    And other instances that <others>
    Then it judges that <verdict> failed

    Examples: seconds ago
      | own                                                        | others                                | verdict   |
      | waits since 0.9 for u1, u2 and u3                          | heard u1, u2 and u3 0.1 ago           | its links |
      | waits since 0.3 for u1, u2 and u3                          | heard u1, u2 and u3 0.1 ago           | nothing   |
      | waits since 0.9 for u1, u2 and u3                          | heard u1, u2 and u3 1.5 ago           | upstreams |
      | waits since 0.9 for u1, u2 and u3                          | are cut off, and heard u1 0.1 ago     | upstreams |
      | waits since 0.9 for u1, u2 and u3                          | do not answer                         | upstreams |
      | waits since 1.0 for u1, and heard u2 0.1 ago               | heard u1 and u2 0.1 ago               | nothing   |
      | waits since 0.9 for u1, u2 and u3                          | heard u3 0.1 ago                      | upstreams |
      | waits since 0.9 for u1, u2 and u3                          | heard u2 and u3 0.1 ago               | its links |
      | was just started, and could not connect to u1 0.1 ago      | heard u1 0.05 ago                     | its links |
      | was just started, and could not connect to u1 0.1 ago      | heard u1 3 ago                        | upstreams |
      | lost connections to u1, u2 and u3 0.2 ago                  | heard u1, u2 and u3 0.1 ago           | its links |
      | lost a connection to u1 0.2 ago, and heard u2 0.1 ago      | heard u1 and u2 0.1 ago               | nothing   |
      | hears u1 and u2, but they answer nothing sent since 1.5    | heard u1 and u2 0.1 ago               | its links |
      | hears u1 and u2, but they answer nothing sent since 1.0    | heard u1 and u2 0.1 ago               | nothing   |
      | hears u1 and u2, but they take no new connections          | heard u1 and u2 0.1 ago               | its links |
      | hears u1 and u2, but u1 takes no new connections           | heard u1 and u2 0.1 ago               | nothing   |

  Scenario Outline: What an instance decides that gets no answer to probes
    Given requests of an instance to <failing> of 6 upstreams fail, <probes>
    And an instance beside it that hears <heard>
    When 3 seconds have passed
    Then this instance <decision>

    Examples:
      | failing | probes                 | heard             | decision                   |
      | 2       | and no probe answered  | the other four    | sends by way of others     |
      | 2       | and no probe answered  | all six           | sends by way of others     |
      | 2       | and no probe answered  | none              | refuses what it gets       |
      | 2       | but other probes are   | the other four    | goes on as before          |
      | 2       | but other probes are   | none              | goes on as before          |
      | 6       | and no probe answered  | none              | refuses what it gets       |
      | 6       | and no probe answered  | all six           | sends by way of others     |

  Scenario: An outage ends with the first sign of life elsewhere
    Given requests of an instance to 6 of 6 upstreams fail, and no probe answered
    And an instance beside it that hears none
    When 3 seconds have passed
    And the other instance hears all six
    And 1 seconds have passed
    Then this instance sends by way of others

  Scenario: An instance probes upstreams that others ask about
    Given requests of an instance to 0 of 6 upstreams fail, but other probes are
    When 1 seconds have passed
    And another instance asks about all upstreams 3 times within 1 second
    Then it has probed 6 different upstreams
