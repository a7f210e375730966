Feature: Failure, truncated bodies
  Protects R2, R3 and R4: a truncated body is never passed on as complete; the booking
  that it belonged to ran and is not reported as not run or run again.

  Scenario: An upstream truncates half of its bodies
    Given a deployment of 3 entries and 3 upstreams
    And upstream "upstream-1" sends half of its bodies truncated
    And 4 callers resend every booking through any entry
    When the load runs for 2 seconds
    And the load stops
    Then upstream "upstream-1" got work
    And every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: Every upstream truncates a fifth of its bodies
    Given a deployment of 3 entries and 3 upstreams
    And every upstream sends a fifth of its bodies truncated
    And 4 callers send lookups and bookings
    When the load runs for 2 seconds
    And the load stops
    Then some bookings stay unknown
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: A lookup whose bodies were truncated is answered when the fault has ended
    Given a deployment of 3 entries and 3 upstreams
    And every upstream sends all of its bodies truncated
    When a lookup is sent through entry "entry-1"
    And the upstreams recover
    And a lookup is sent through entry "entry-1"
    Then the last lookup is answered
