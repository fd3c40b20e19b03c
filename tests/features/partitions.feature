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
