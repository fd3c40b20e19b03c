@default_timing
Feature: Only instances and callers with keys are answered

  Scenario: An instance without a known key is not heard
    When an instance with an unknown key asks a1 for its status
    Then it gets no answer

  Scenario: A forged announcement of another failure domain is refused
    When a caller announces an upstream of zone-b to a1
    Then the announcement is refused and names zone-b

  Scenario: Callers are served over TLS by setting
    When an instance with a certificate starts in addition to the fleet
    Then it answers the readiness probe over TLS

  Scenario: Metrics and probes are read without a key
    When the metrics and probes of a1 are read without a key
    Then the metrics count control bytes by kind
    And the probes report alive and ready

  Scenario: The control traffic stays within its budget
    When the fleet is idle for 10 seconds
    Then no instance spent more than 2048 bytes per second on control traffic
