@no_fleet
Feature: Answers whose heads are not valid HTTP

  # Any of these may hide where the body ends.
  Scenario Outline: An answer with a malformed head reaches no client
    Given upstreams that answer with <what>
    When clients send a request of each kind on each way
    Then each is answered 502, and no booking reached two upstreams
    And a probe of an upstream finds no answer
    And the client for chats and services takes it for no answer
    And the operators' client takes it for no answer

    Examples: by status line
      | what                         |
      | the status 000               |
      | the status 001               |
      | the status 020               |
      | the status 099               |
      | the status 20                |
      | the status 2000              |
      | the status -20               |
      | the status 101               |
      | no status                    |
      | the version 2.0              |
      | the version 0.9              |
      | a control byte in the reason |
      | DEL in the reason            |

    Examples: by name of a field
      | what                         |
      | a blank in a name            |
      | a tab in a name              |
      | NUL in a name                |
      | 01 in a name                 |
      | 0B in a name                 |
      | 7F in a name                 |
      | E9 in a name                 |
      | CR in a name                 |
      | a blank behind a name        |
      | a control byte behind a name |
      | CR behind a name             |
      | no colon                     |
      | no name                      |

    Examples: by what would end the body
      | what                               |
      | a blank behind Content-Length      |
      | a blank in Content-Length          |
      | 01 behind Content-Length           |
      | a length with a sign               |
      | two lengths                        |
      | a blank behind Transfer-Encoding   |
      | a blank before Content-Length      |
      | a tab before Transfer-Encoding     |
      | a blank before another field       |
      | a line of blanks                   |
      | a blank before the first field     |

  Scenario Outline: An answer with a malformed trailer is not delivered as whole
    Given upstreams that answer with <what>
    When clients send a request of each kind on each way
    Then streams are cut off, the others answered 502, and no booking reached two upstreams
    And the client for chats and services takes it for no answer
    And the operators' client takes it for no answer

    Examples: by trailer
      | what                               |
      | a blank in a trailer's name        |
      | a control byte in a trailer's name |

  Scenario Outline: A sound answer behind a malformed interim one is not taken
    Given upstreams whose answers follow the interim answer <head>
    When clients send a request of each kind on each way
    Then each is answered 502, and no booking reached two upstreams
    And the client for chats and services takes it for no answer
    And the operators' client takes it for no answer

    Examples: by interim answer
      | head                                    |
      | HTTP/1.1 103 Hints\r\nX-A: 1\r\n X-B: 2 |
      | HTTP/2.0 100 Continue                  |

  Scenario Outline: Odd but valid heads are read
    Given upstreams whose status line is <line>
    When clients send a request of each kind on each way
    Then each gets the whole answer
    And so does the client for chats and services
    And so does the operators' client

    Examples: by status line
      | line                       |
      | HTTP/1.1 200               |
      | HTTP/1.0 200 OK            |
      | HTTP/1.1 200 Tout va bien  |
      | HTTP/1.1 200 \xe7a marche  |
