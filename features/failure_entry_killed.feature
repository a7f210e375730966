Feature: Failure, an entry is killed
  Protects R3 and R4: what a killed entry had started stays unknown and is not run
  again through another entry; lookups are answered by the others.

  Scenario: An entry is killed while callers resend through the others
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers resend every booking through any entry
    And the load runs for 1 seconds
    When entry "entry-2" is killed
    And the load runs for 2 seconds
    And the load stops
    Then every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
    And at most 4 bookings stay unknown
