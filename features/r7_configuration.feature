Feature: R7, accepted changes
  Protects R7: an accepted change is in effect at all entries within 5 s and never
  reverts, also at an entry that starts while reads are stale.

  Scenario: A new route is served everywhere
    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    When an operator adds a route "fresh" through entry "entry-1"
    Then the edit is accepted
    And every live entry serves the route "fresh" within 5 seconds
    When an operator changes the bookings route through entry "entry-2"
    Then the edit is accepted
    And the edit is in effect at all live entries within 5 seconds
    When reads of the table service lag behind by 2 revisions
    And one more entry is started
    Then the new entry becomes ready within 15 seconds
    And the edit is in effect at all live entries within 5 seconds
    And no entry went back to an older revision
