@no_fleet
Feature: The cause of a failed request is found in log files

  Scenario Outline: A failed request is explained
    Given log files of a day in which <what>
    When an operator asks to explain request r1
    Then the explanation names <cause>
    And it shows the belief: <belief>

    Examples:
      | what                           | cause                                | belief                    |
      | an instance was cut off        | Replicas lost before: 10.1.0.9       | lost a replica: no reply  |
      | an upstream reset a connection | i-1: the connection was reset        | upstream is silent        |
      | a long prompt held up a stream | i-1 prefilled 23968 tokens meanwhile | sent to an upstream       |

  Scenario: A request that no file knows
    Given log files of a day in which an instance was cut off
    When an operator asks to explain request r2
    Then it ends with exit code 1 and names r2

  Scenario: A page with plots of a day
    Given log files of a day in which an instance was cut off
    When an operator asks for a report
    Then the page holds a plot of: Refused, by reason
    And it counts 1 of: answered 503: the configuration may be old
