Feature: Failure, the store is slow
  Protects R7 and the request path: a slow store delays no request, and an edit that
  was refused has changed nothing.

  Scenario: The table service takes 3 s for each request
    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    And 4 callers send lookups and bookings
    When the table service takes 3000 ms for each request
    And an operator changes the bookings route through entry "entry-1"
    Then the edit is refused or of unknown result
    When the load runs for 1 seconds
    And the load stops
    Then every lookup is answered
    And every booking is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
    When the platform recovers
    Then an operator can change the bookings route through entry "entry-1" again
    And the history at entry "entry-1" holds no refused edit
    And the edit is in effect at all live entries within 5 seconds
    And no entry went back to an older revision
