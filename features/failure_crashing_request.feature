Feature: Failure, a request crashes each upstream that runs it
  Protects the upstreams: a request that its caller resends through all entries
  crashes at most 3 of them. Also R4: other bookings are not doubled.

  Scenario: A crashing request is resent through every entry
    Given a deployment of 3 entries and 5 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When a caller resends a request that crashes its upstream through every entry
    And the load stops
    Then it crashed at least 1 and at most 3 upstreams
    And every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
