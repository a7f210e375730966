Feature: R3, not-run is true
  Protects R3: a request that is refused as not run did not run, whatever an upstream
  says or leaves open.

  Scenario: A refusal without a certificate comes after the request ran
    Given a deployment of 3 entries and 3 upstreams
    And upstream "upstream-1" refuses without a certificate after it ran the request
    And 4 callers resend every booking through any entry
    When the load runs for 2 seconds
    And the load stops
    Then upstream "upstream-1" got work
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: Overloaded upstreams shed while connections are cut
    Given a deployment of 3 entries and 3 upstreams
    And every upstream takes 60 ms and sheds what finds no slot
    And a neighbour sends requests to every upstream itself
    And 16 callers send lookups and bookings
    When the load runs for 0.5 seconds
    And the connections of upstream "upstream-2" are cut
    And the load runs for 1 seconds
    And the load stops
    Then the upstreams shed requests
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
