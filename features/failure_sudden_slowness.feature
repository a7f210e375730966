Feature: Failure, an upstream slows down suddenly
  Protects R2 and R4, and the rule that sudden slowness is detected within a few
  responses: a slow upstream gets little further work.

  Scenario: One upstream becomes 50 times slower
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When upstream "upstream-1" becomes 50 times slower
    And the load runs for 3 seconds
    And the load stops
    Then upstream "upstream-1" got less than half its equal share from 1 s on
    And every lookup is answered
    And every booking is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
