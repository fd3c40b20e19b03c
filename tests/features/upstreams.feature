@no_fleet
Feature: Answers of upstreams at the clients' own interface

  Scenario Outline: A chat's answer is whole, or it is none
    Given an engine that answers a chat with <what>
    When a chat that is not streamed is sent to it
    Then the attempt is <seen>

    Examples: by answer
      | what                             | seen   |
      | a document                       | whole  |
      | a document without length        | whole  |
      | a part without length            | broken |
      | a document that is reset         | broken |
      | a part with the whole's length   | broken |
      | a document without end           | broken |

  Scenario Outline: A stream's events are whole, or the stream is broken off
    Given an engine that answers a chat with <what>
    When a chat that is streamed is sent to it
    Then the attempt is <seen>, after <count> events

    Examples: by stream
      | what                     | seen   | count |
      | three events             | ended  | 3     |
      | three events with CRLF   | ended  | 3     |
      | three events and a part  | ended  | 3     |
      | an event without end     | broken | 0     |
      | an event that is no text | broken | 0     |

  Scenario Outline: A part of an early answer is not taken as whole
    Given an engine that answers uploads with <framing> and ends with <ending>
    When 12 uploads are sent to it
    Then all attempts are <seen>

    Examples: by ending
      | framing            | ending                     | seen   |
      | no length          | a reset                    | broken |
      | no length          | a close                    | broken |
      | no length          | a half-close, then a close | broken |
      | no length          | a late reset               | broken |
      | a length too long  | a reset                    | broken |
      | chunks without end | a close                    | broken |
      | no length          | an end                     | whole  |

  # Each answer was kept up to its own limit, whatever the others held.
  Scenario Outline: Answers without end take the memory of one large answer
    Given engines that answer with <what>, without end
    When 20 chats that are <how> are sent to them at a time
    Then no chat is answered, and at most 80 MiB were in use

    Examples: by answer
      | what                 | how          |
      | a body               | not streamed |
      | a body of a length   | not streamed |
      | chunks               | not streamed |
      | the body of an error | not streamed |
      | the body of an error | streamed     |
      | a field              | not streamed |
      | trailers             | not streamed |
      | an event             | streamed     |

  Scenario: Ordinary answers are whole while others use up the memory
    Given engines that answer with a body, without end
    When 20 chats that are not streamed are sent to them at a time
    Then ordinary chats meanwhile get their whole answers

  # A stream's events were all kept, for clients that take it up again.
  Scenario: Streams of valid events without end take bounded memory
    When 20 engines send events without end to streamed chats
    Then all these streams break off, and at most 400 MiB were in use
    And a chat of 6000 tokens that is streamed meanwhile is whole
    And once those streams are forgotten, a longer one is whole

  # The upstream was taken to have crashed, or the client got no answer.
  Scenario: Paths and headers of clients that ASCII can't hold
    When a request for "/a b/é高?c=d" with the header value "ä" is sent
    Then the upstream gets the target "/a%20b/%C3%A9%E9%AB%98?c=d" and "ä"
