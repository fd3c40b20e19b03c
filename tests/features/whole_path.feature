Feature: A request gets served end to end

  Scenario: A streamed chat is answered whole
    When a caller streams the chat "My strings: 24/23 kg" at a1
    Then the streamed answer is complete

  Scenario: A chat is answered as one body
    When a caller sends the chat "Clay or hard court?" at b2
    Then the answer is the engine's complete answer

  Scenario: A returning chat finds its engine from another instance
    When a caller streams the chat "History of forty rackets" at a1
    And the chat continues at c2 with "And for doubles?"
    Then both answers are complete and came from the same engine

  Scenario: The published chat client works unchanged
    When the published chat client lists models and chats at b1
    Then it got the model, a complete answer and a streamed answer

  Scenario: A booking and its resend book once
    When a caller books "stencil" with key "whole-1" at a1
    And a caller books "stencil" with key "whole-1" at c2
    Then every answer is 201 and the booking "whole-1" took effect once
    And the last answer was replayed

  Scenario Outline: Wrong input gets a precise error
    When a caller sends <what> at a2
    Then the answer is <status> with code <code> and disposition not-run

    Examples:
      | what                   | status | code                    |
      | text that is not JSON  | 400    | invalid_request         |
      | an unknown model       | 404    | model_not_found         |
      | no messages            | 400    | invalid_request         |
      | a number as content    | 400    | invalid_request         |
      | stream as text         | 400    | invalid_request         |
      | no key                 | 401    | invalid_api_key         |
      | a wrong key            | 401    | invalid_api_key         |
      | a closed account's key | 401    | invalid_api_key         |
      | a huge body            | 413    | body_too_large          |
      | huge headers           | 431    | headers_too_large       |
      | half a body            | 408    | timeout                 |
      | an unknown path        | 404    | not_found               |
      | a GET of chats         | 405    | method_not_allowed      |
      | an unknown route       | 404    | no_route                |
      | a booking without key  | 400    | idempotency_key_missing |
