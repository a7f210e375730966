Feature: Failure, an upstream is killed
  Protects R3 and R4: what a killed upstream was running is unknown, not run again;
  lookups go to the others.

  Scenario: An upstream is killed under load
    Given a deployment of 3 entries and 3 upstreams
    And every upstream takes 20 ms for a request
    And 6 callers resend every booking through any entry
    And the load runs for 1 seconds
    When upstream "upstream-3" is killed
    And the load runs for 1.5 seconds
    And the load stops
    Then every lookup is answered
    And at most 3 bookings stay unknown
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
