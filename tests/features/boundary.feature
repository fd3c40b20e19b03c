@no_fleet
Feature: Only the platform's package knows the platform's protocol

  Scenario: Nothing outside the folder knows a name of the platform's wire
    Then no module outside platform/ contains a name of the platform's protocol

  Scenario: The folder stays small and decides nothing
    Then platform/ has under 1100 lines and no random, hash or timer of its own

  Scenario: A lean instance imports no heavy library
    Then an instance on the platform imports neither asyncio, hypercorn, OpenTelemetry nor expression

  Scenario: An instance on the platform loads no part that is left out
    When the modules of an instance on the platform are imported
    Then each module that is left out is empty, and none below it is loaded

  Scenario: An instance on the platform holds 16.5 MB after the imports
    When the modules of an instance on the platform are imported
    Then the process holds at most 16.5 MB, which is printed

  Scenario: Byte code without doc strings is loaded under the usual names
    When a package is compiled as for the platform
    Then its modules have no doc strings, except for the usage message

  Scenario: Logs never wait for their reader
    When 5000 lines are logged to a pipe that is not read
    Then it takes under 2 seconds of processor time and lines are counted as dropped

  Scenario: A settings file that changes is read again, a wrong one is not used
    Given a settings file of the platform
    When its seeds are changed
    Then the new seeds are in use
    When the file is truncated to its first half
    Then the new seeds are in use

  Scenario: Metrics are rendered as counters, gauges and histograms
    Then a counter, a gauge and a histogram appear in the text
