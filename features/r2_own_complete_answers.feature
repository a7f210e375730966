Feature: R2, own and complete answers
  Protects R2: a caller gets the complete response to its own request, also when it
  sends several requests on one connection and when other callers give up early.

  Scenario: Several requests on one connection during background load
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    When a caller sends several requests at once on one connection to entry "entry-2"
    Then each response on the connection is the complete one of its own request
    When the load runs for 1 seconds
    And the load stops
    Then every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
