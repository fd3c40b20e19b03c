@no_fleet
Feature: End-to-end requests on the platform, with real processes

  Background:
    Given a platform with 3 replicas, 2 entry instances and 5 servers

  Scenario: Requests of every kind are served, and wrong ones refused
    Then a safe request is answered 200 by a server
    And an unsafe request is answered 200 by a server
    And a stream of 10 events is complete
    And a request without a key is answered 401
    And a request with an unknown key is answered 401
    And a request to an unknown path is answered 404
    And an open request without a key is answered 200 by a server
    And no server ever received a key

  Scenario: A document is in force everywhere, and never an older one
    When document 20 sends requests to the other service
    Then within 2 seconds both entry instances use the other service
    When document 10 is sent again to each replica
    Then each replica answers it 200 and reads back document 20
    And both entry instances use the other service
    When a document with a fault is sent
    Then it is refused with 400 and each replica reads back document 20

  Scenario: Entries that can't be read or used are refused, the others hold
    When registrations that name no server to use reach each replica
    Then each is answered with a 4xx
    And no process ended, and both entry instances serve on
    When documents that can't be read in full reach each replica
    Then each is answered with a 4xx
    And no process ended, and both entry instances serve on

  Scenario: An operator looks at a document before importing it
    When a dry run of document 20 with a new service and one key less is made
    Then it lists the service, the routes and the key, and changes nothing
    When a dry run of a document with two faults is made
    Then it names both faults and exits with 1
    When document 20 is imported as version 25
    Then within 2 seconds both entry instances use the other service
    And importing it again as version 24 exits with 3

  Scenario: A key that was taken away is refused, also by a paused instance
    When process entry-1 is paused
    And document 20 revokes key-2
    And 3.2 seconds after its acknowledgement entry-1 is resumed
    Then a request with key-2 to entry-1 does not run
    And explain reports of request gone: entry-1 had no confirmation

  Scenario Outline: An evacuation holds in time beside a frozen replica
    When process replica-<number> is paused
    And zone-b is taken out, as entry-2 sends it open requests
    Then within 4.5 seconds entry-2 sends it nothing more

    Examples: one of them is watched by entry-2
      | number |
      | 1      |
      | 2      |
      | 3      |

  Scenario: The leader is killed, and orders and requests go on
    When the leading replica is killed
    Then within 5 seconds document 30 is acknowledged
    And a safe request is answered 200 by a server

  Scenario: All replicas are killed and nothing acknowledged is lost
    When document 40 is acknowledged and zone-b is taken out
    And all replicas are killed and started again
    Then within 8 seconds each replica reads back document 40
    And within 5 seconds no request reaches zone-b

  Scenario: After a restart of all, engines tell which prompts they hold
    When a stream with a part of 5000 tokens is answered by an engine
    And all entry instances are killed and started again
    And at once a stream with another part is answered
    Then within 6 seconds they have learned 3 parts from the engine
    And the next stream with that part goes to an engine that holds it

  Scenario: A replica that lost its disk takes part again
    When document 50 is acknowledged
    And replica-1 loses its disk and starts again
    And within 8 seconds it votes again
    And process replica-2 is killed
    Then within 5 seconds document 51 is acknowledged

  Scenario: A replica is replaced by one at another address
    When process replica-3 is killed
    And replica-4 starts with an empty disk
    And within 12 seconds it votes again
    And process replica-2 is killed
    Then within 5 seconds document 61 is acknowledged

  Scenario: A leaving server gets nothing more after its acknowledgement
    When server-1 drains while requests are sent
    Then no request was interrupted, and none reached it after 2 seconds

  Scenario: A stopping instance answers what it has read
    When entry-1 gets SIGTERM during a slow request
    Then the slow request is answered 200
    And entry-1 reports at once that it is not ready

  Scenario: A crashed server costs no idempotent request
    When process server-2 is killed
    Then 20 safe requests are answered 200

  Scenario: A request that is not idempotent runs once at most
    When a server crashes in an unsafe request
    Then it is answered 502 and ran once
    And explain reports of request crash: It may have run, so it was not sent again

  Scenario: A request that crashes servers is refused by every instance
    When a safe request crashes 3 servers, each of which starts again
    Then within 1 second both instances refuse it, and tell when to come back
    And 20 safe requests are answered 200
    When process entry-1 is killed
    And entry-1 starts again
    Then within 8 seconds both instances refuse it, and tell when to come back
