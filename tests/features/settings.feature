@no_fleet
Feature: Settings are checked completely at the start

  Scenario Outline: A fault is named with file, section and option
    Given valid settings in which [<section>] <option> is <value>
    When the settings are checked
    Then the exit code is 2 and the fault names <section>, <option> and <word>

    Examples:
      | section  | option       | value      | word     |
      | instance | roles        | king       | replica  |
      | instance | log_level    | loud       | loud     |
      | callers  | address      | localhost  | IP       |
      | callers  | port         | 99999      | 65535    |
      | callers  | port         | http       | http     |
      | upstreams | port        | 23000      | used     |
      | callers  | colour       | red        | unknown  |
      | timing   | election_ms  | 100        | three    |
      | peers    | secret_key   | nowhere    | exist    |
      | weather  | wind         | 5          | unknown  |

  Scenario: All faults are listed at once
    Given valid settings in which [callers] address is localhost
    And [instance] roles is king
    And [upstreams] port is missing
    When the settings are checked
    Then the exit code is 2 and 4 faults are listed

  Scenario: Right settings pass
    Given valid settings
    When the settings are checked
    Then the exit code is 0

  Scenario: The examples' settings files name every instance
    Then every settings file under examples has a section for each other instance

  Scenario: An operator's command with wrong usage ends with 2
    When the operators' command runs with unknown arguments
    Then it exits with 2 and shows its usage

  Scenario: The reference is that of the code
    Then docs/reference.md matches the output of tools.reference
