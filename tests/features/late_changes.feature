@no_fleet
Feature: A change that comes late does not undo a newer one

  Scenario Outline: An order held back is not applied over a newer one
    Given a failure domain that operators <first>
    When an order to <order> it is held back, and another one is obeyed
    Then the late order changes nothing and may be sent again
    And sent again, it is obeyed

    Examples:
      | first             | order     |
      | took out of use   | take back |
      | never named       | evacuate  |

  Scenario: An order sent again after a lost answer is acknowledged again
    Given a failure domain that operators took out of use
    When an order to take back it is obeyed twice, with a newer one between
    Then both are acknowledged, and the newer one holds

  Scenario: Nothing is done for an operator that has gone
    Given a failure domain that operators took out of use
    When an order to take back it comes from an operator that has gone
    Then nothing is submitted

  Scenario Outline: A late copy of another write changes nothing
    Given a state to which <before> were applied
    When a late copy of <late> is applied
    Then its outcome is <outcome>, and the state is as before

    Examples:
      | before                             | late             | outcome  |
      | claim one, finish one              | claim one        | replay   |
      | claim one, finish one              | abandon one      | done     |
      | claim one, finish one              | claim two        | replay   |
      | abandon one                        | claim one        | abandoned |
      | claim one, abandon one, claim two  | claim one        | running  |
      | claim one, abandon one, claim two  | finish one       | refused  |
      | document 5, document 7             | document 5       | kept     |
      | document 5, document 7             | document 7       | kept     |
