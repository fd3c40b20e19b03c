@no_fleet
Feature: Holders of permits keep to the allowance, also after a restart

  Scenario Outline: Permits of a cold upstream after a restart of a holder
    Given a holder of 2 of 4 permits that restarted <seconds> seconds ago
    When the upstream's reports count <reports> runs one after the other
    Then the holder grants <granted> permits

    Examples:
      | seconds | reports | granted |
      | 1       | 0       | 0       |
      | 10      | 4       | 0       |
      | 10      | 1       | 1       |
      | 10      | 0, 3    | 2       |
      | 10      | 3, 1, 3 | 1       |
      | 61      | 4       | 2       |
