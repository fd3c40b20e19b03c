Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race with equal numbers
    When 6 operators set the same cell with the same expected version at once
    Then exactly one of them wins and the others get a conflict
    And the winner's value is in force on every instance

  Scenario: A resend after a lost answer gets the first outcome
    When an operator sends a change with operation "same-1" at a1
    And another operator changes the row
    And the operator sends it again with operation "same-1" at c2
    Then both answers are the same
    And the other operator's value is in force on every instance

  Scenario Outline: A wrong cell is refused with what is allowed
    When an operator sets <table> <row> <column> to the text <value>
    Then the refusal names <table>, <row>, <column>, <value> and <allowed>

    Examples:
      | table           | row        | column     | value | allowed |
      | services        | stringmind | load_bound | 0.5   | 1.01    |
      | services        | stringmind | kind       | fast  | plain   |
      | client_accounts | club       | weight     | many  | 1000    |
      | client_accounts | club       | colour     | red   | weight  |
      | failure_domains | zone-a     | state      | off   | out     |

  Scenario: An operator without a key is refused
    When an operator with a wrong key reads the services
    Then the exit code is 1 and the text names the key

  Scenario: Hundreds of changes, then restarts
    When operators make 300 changes
    And the processes a2, b2 are killed at once
    And the processes a2, b2 start again
    Then every accepted change is in force on every instance
    And no instance ever went back to a lower index

  Scenario: A cut-off failure domain serves what it can
    When failure domain zone-c is cut off
    And c2 is cut_off
    Then a chat at c2 is served completely by an engine of zone-c
    And a booking at c2 is reported as not run and has no effect
    And a chat at a1 is served completely by an engine of another failure domain than zone-c
    When operators make 5 changes at other instances
    And the network heals
    Then every accepted change is in force on every instance

  Scenario: A table goes out as CSV and comes back
    When an operator exports the services, and imports them again
    Then the import reports that nothing changed

  Scenario: A row is added and removed
    When an operator adds and removes a row of upstreams
    Then the row is removed on every instance

  Scenario: An acknowledged change is read back at the instance that took it
    When an operator changes a row 10 times at each instance and reads it there at once
    Then no read was older than the change before it
