Feature: Failure, an entry is paused and unaware
  Protects R4 and R7: what an entry believed before a pause has lapsed when it
  resumes; it starts no key twice and goes on with the newer tables.

  Scenario: An entry is paused for 3 s while the tables change
    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    And 4 callers resend every booking through any entry
    And the load runs for 0.5 seconds
    When entry "entry-1" is paused
    And an operator changes the bookings route through entry "entry-2"
    Then the edit is accepted
    When the load runs for 3 seconds
    And entry "entry-1" resumes
    Then the edit is in effect at all live entries within 5 seconds
    When the load runs for 1 seconds
    And the load stops
    Then every lookup is answered
    And at most 8 bookings stay unknown
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
    And no entry went back to an older revision
