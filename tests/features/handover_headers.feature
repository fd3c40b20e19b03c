@no_fleet
Feature: Headers of clients and upstreams beside those of instances

  # A client's header decided for which account its request ran, how long an
  # upstream might work on it, and which part of a stream was left out.
  Scenario Outline: Clients send each header that instances use among themselves
    Given upstreams that answer each request
    When a client sends each of these headers with <kind> requests, <way>
    Then each request is answered, and ran once as the client asked
    And upstreams got the header as the client sent it

    Examples:
      | kind       | way                        |
      | booking    | directly                   |
      | booking    | by way of another instance |
      | repeatable | by way of another instance |
      | stream     | by way of another instance |

  # An instance of an older build passes on a client's headers ahead of its own.
  Scenario Outline: Requests handed over with a header that may be a client's
    Given upstreams that answer each request
    When an instance hands a booking over <how>
    Then it is refused as not sent, and the log says "<reason>"

    Examples:
      | how                            | reason                                    |
      | with camphorhook-key twice     | camphorhook-key occurs more than once     |
      | with CAMPHORHOOK-Key twice     | camphorhook-key occurs more than once     |
      | with camphorhook-request twice | camphorhook-request occurs more than once |
      | with camphorhook-output first  | out of place: camphorhook-output          |
      | with camphorhook-version first | out of place: camphorhook-version         |
      | with camphorhook-refusal last  | out of place: camphorhook-request         |
      | without any header of its own  | out of place                              |

  Scenario: Headers that newer builds add are no reason to refuse
    Given upstreams that answer each request
    When an instance hands a booking over with camphorhook-added-later last
    Then it is answered 200

  Scenario Outline: Clients send headers that only the system sets
    Given upstreams that answer each request
    When a client sends <name> in each case of letters, as a header and as a trailer, with bookings <way>
    Then each is answered, and upstreams got no value of the client's

    Examples: the names of the users' pages
      | name               | way                        |
      | Authorization      | by way of another instance |
      | X-Tenant           | directly                   |
      | X-Tenant           | by way of another instance |
      | X-Deadline-Ms      | by way of another instance |
      | X-Expect-Instance  | by way of another instance |
      | X-Expect-Version   | by way of another instance |
      | X-Request-Priority | by way of another instance |
      | X-Hold             | by way of another instance |
      | X-Pin-Ms           | by way of another instance |
      | X-Kv-Backup        | by way of another instance |
      | Kv-Fetch           | by way of another instance |
      | Kv-From            | directly                   |
      | Kv-From            | by way of another instance |

  # Another instance took the header for the word of the one that it had handed
  # the request to, that nothing was sent, and sent a booking once more.
  Scenario Outline: Upstreams send each header that instances use among themselves
    Given upstreams that answer each request
    When they add each of these headers to answers to <kind> requests, <way>
    Then each request is answered, and ran once as the client asked
    And clients got the header as the upstream sent it

    Examples:
      | kind       | way                        |
      | booking    | directly                   |
      | booking    | by way of another instance |
      | repeatable | by way of another instance |
      | stream     | by way of another instance |

  # An instance of an older build passes on an upstream's headers and adds its
  # own behind them.
  Scenario Outline: Answers with a header that may be an upstream's
    Given an instance of an older build that answers with <headers>
    When a client sends a <kind> request that is handed over to it
    Then it is answered <status> after <count> hand-overs
    And the instance is not taken to have failed

    Examples:
      | headers                                   | kind       | status | count |
      | the refusal "cut off" and its version     | booking    | 502    | 1     |
      | the refusal "other" and its version       | booking    | 502    | 1     |
      | the version "9.9" and its version         | booking    | 502    | 1     |
      | the refusal "cut off" and its version     | stream     | 502    | 1     |
      | the refusal "cut off" and its version     | repeatable | 502    | 2     |
      | the key "k" and its version               | booking    | 200    | 1     |
      | the x-camphorhook-key "k" and its version | booking    | 200    | 1     |

  # A request went back to an upstream that had rejected it, as the name with a
  # comma was read as two names.
  Scenario: Upstreams to leave out whose names have separators
    Then a request that must not go to "a,b", "100%" and "%2C" is read as it was handed over

  Scenario: Drawn headers through a hand-over
    Then each of 300 drawn requests is read as it was handed over
