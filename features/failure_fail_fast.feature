Feature: Failure, an upstream fails fast
  Protects R2 and R4, and the target that the share of failing answers is under 1 %
  after the first second: an upstream that fails fast must not attract work.

  Scenario: One upstream fails fast on every request
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When upstream "upstream-1" fails fast on every request
    And the load runs for 3 seconds
    And the load stops
    Then upstream "upstream-1" was asked while it failed
    And every lookup is answered
    And under 1 % of the calls from 1 s on were failing answers
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
