@no_fleet
Feature: Answers that come while their request is still being sent

  # A part of a body without length ended as a whole answer, as the error of
  # the reset was taken by the task that sent the request.
  Scenario Outline: A part of an early answer is not delivered as whole
    Given upstreams that answer uploads with <framing> and end with <ending>
    When clients send 12 uploads as <kind> requests, <way>
    Then no client gets a part as a whole answer, and each is answered
    And each attempt counts once, as a failure of its upstream
    And no booking reached more than one upstream

    Examples: by kind, directly
      | framing            | ending       | kind       | way      |
      | no length          | a reset      | repeatable | directly |
      | no length          | a reset      | booking    | directly |
      | no length          | a reset      | stream     | directly |
      | no length          | a close      | repeatable | directly |
      | no length          | a close      | booking    | directly |
      | no length          | a close      | stream     | directly |
      | no length          | a late reset | repeatable | directly |
      | no length          | a late reset | booking    | directly |
      | no length          | a late reset | stream     | directly |
      | a length too long  | a reset      | booking    | directly |
      | a length too long  | a close      | repeatable | directly |
      | a length too long  | an end       | stream     | directly |
      | chunks without end | a reset      | stream     | directly |
      | chunks without end | a close      | booking    | directly |
      | chunks without end | an end       | repeatable | directly |

    Examples: with an orderly end before the reset
      | framing   | ending                     | kind       | way                        |
      | no length | a half-close, then a close | repeatable | directly                   |
      | no length | a half-close, then a close | booking    | directly                   |
      | no length | a half-close, then a close | stream     | directly                   |
      | no length | a half-close, then a close | booking    | by way of another instance |

    Examples: by way of another instance
      | framing   | ending  | kind       | way                        |
      | no length | a reset | repeatable | by way of another instance |
      | no length | a reset | booking    | by way of another instance |
      | no length | a close | stream     | by way of another instance |

  Scenario Outline: An instance that others send by way of breaks its answer off
    Given upstreams that answer uploads with <framing> and end with <ending>
    When clients send 12 uploads as <kind> requests, by way of an instance that fails so
    Then no client gets a part as a whole answer, and each is answered
    And no booking reached more than one upstream

    Examples: by kind
      | framing   | ending  | kind       |
      | no length | a reset | repeatable |
      | no length | a reset | booking    |
      | no length | a close | stream     |

  Scenario Outline: A whole early answer is delivered
    Given upstreams that answer uploads with no length and end with an end
    When clients send 3 uploads as <kind> requests, <way>
    Then each client gets the answer, which is whole

    Examples: by kind
      | kind       | way                        |
      | repeatable | directly                   |
      | booking    | directly                   |
      | stream     | directly                   |
      | booking    | by way of another instance |
