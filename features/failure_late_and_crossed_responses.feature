Feature: Failure, late and crossed responses
  Protects R2: a response that comes after its deadline, or a surplus response on a
  connection, is never taken for the answer to another request.

  Scenario: Every answer comes twice and many come late
    Given a deployment of 3 entries and 3 upstreams
    And every upstream sends each answer twice
    And every upstream takes from 1 ms to several seconds
    And 8 callers send lookups and bookings
    When the load runs for 3 seconds
    And the load stops
    Then some requests passed their deadline at the upstreams
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
