Feature: Failure, the store is down
  Protects R7: while the store is down entries serve, an edit is refused and changes
  nothing, and a new entry joins through its peers with the accepted tables.

  Scenario: An entry joins while the table service is down
    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    And 4 callers send lookups and bookings
    When an operator changes the bookings route through entry "entry-1"
    Then the edit is accepted
    When the table service is down
    And an operator changes the bookings route through entry "entry-2"
    Then the edit is refused and changed nothing
    When one more entry is started
    Then the new entry becomes ready within 15 seconds
    And the edit is in effect at all live entries within 5 seconds
    When the load stops
    And the platform recovers
    Then an operator can change the bookings route through entry "entry-2" again
    And the history at entry "entry-2" holds no refused edit
    And no entry went back to an older revision
    And every lookup is answered
    And every booking is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
