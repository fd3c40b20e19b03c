@no_fleet
Feature: How answers of upstreams end, and what the client sees of it

  Scenario Outline: An end between two events is the end of the stream
    Given upstreams whose streams have <framing> and end <where>
    When a client requests a stream that may not be resumed
    Then it gets the events 1 to 3, and its answer is <seen>
    And the log says that the stream had <logged>

    Examples:
      | framing                   | where                       | seen     | logged   |
      | neither length nor chunks | after an event              | complete | close 0  |
      | chunks                    | after an event              | complete | chunks 0 |
      | a length                  | after an event              | complete | length 0 |
      | neither length nor chunks | after a comment             | complete | close 6  |
      | neither length nor chunks | with a reset after an event | cut off  | no end   |

  Scenario Outline: A stream that ends inside an event is not delivered as complete
    Given upstreams whose streams have <framing> and end inside an event
    When a client requests a stream that <may> be resumed
    Then it gets the events 1 to <last>, and its answer is <seen>

    Examples: by framing
      | framing                   | may     | last | seen     |
      | neither length nor chunks | may not | 3    | cut off  |
      | chunks                    | may not | 3    | cut off  |
      | a length                  | may not | 3    | cut off  |
      | neither length nor chunks | may     | 6    | complete |
      | chunks                    | may     | 6    | complete |

  Scenario: An answer that is no event stream is delivered whole on a streaming route
    Given upstreams that answer in JSON with neither length nor chunks
    When a client requests a stream that may not be resumed
    Then it gets the JSON document, and its answer is complete

  Scenario: Events with any line ends are found wherever their bytes are split
    Then events with the line ends LF, CRLF, CR and both mixed are put together again

  Scenario Outline: A client that knows no chunks sees that its stream was cut off
    Given upstreams whose streams have chunks and end <where>
    When a client of HTTP/1.0 requests a stream that may not be resumed
    Then it gets the events 1 to 3, and its answer is <seen>

    Examples: by end
      | where           | seen     |
      | inside an event | cut off  |
      | after an event  | complete |
