@no_fleet
Feature: The soak finds violated guarantees, and the programs keep them

  Scenario: A short seeded run
    When the soak runs seed 7 for 8 seconds
    Then no checker found a violation

  Scenario Outline: A checker finds what it is for
    Given a history in which <what>
    Then <checker> finds it, and nothing in the history without it

    Examples:
      | what                                       | checker           |
      | a request that is not idempotent ran twice | check_once        |
      | an answer belongs to another request       | check_own         |
      | a stream lacks an event                    | check_own         |
      | a stream went on at another version        | check_versions    |
      | a refused request ran                      | check_refusals    |
      | an instance serves an old document         | check_documents   |
      | an instance goes back to an old document   | check_documents   |
      | a revoked key was accepted                 | check_keys        |
      | a server that left got a request           | check_departures  |
      | a server that said that it leaves got a request | check_leaving |
      | a server that wanted a pause got requests  | check_pauses      |
      | a server got more than the limit that it named | check_limits  |
      | brittle servers fell over together         | check_falls       |
      | an instance that was cut off served nothing | check_partitions |
      | a failure domain that is out got a request | check_evacuations |
      | a request waited until the failure domain was out | check_evacuations |
      | a late order took a failure domain back    | check_evacuations |
      | a failure domain that is in got no request | check_domains     |
      | a valid order was refused                  | check_orders      |
      | an invalid document was acknowledged       | check_orders      |
      | an invalid document is in force            | check_documents   |
      | a replica returned an old document         | check_readings    |
      | a replica returned what was not sent       | check_readings    |
      | routes that were added are not served      | check_added       |
      | a cold server got too much                 | check_cold        |
      | too many requests were sent again          | check_retries     |
      | a request kept crashing servers            | check_crashes     |
      | a part of prompts kept crashing servers    | check_crashes     |
      | a sound request was refused for crashes    | check_blame       |
      | a planned stop cut a request               | check_stops       |
      | an acknowledged document was lost          | check_recovery    |
      | no service after the faults                | check_recovery    |

  Scenario: A failing schedule is shortened
    Given the schedule of seed 3
    When it is shortened while it contains its second and its last fault
    Then only these two faults are left
    And it is the same after saving and loading
