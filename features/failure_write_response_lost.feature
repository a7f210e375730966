Feature: Failure, a write takes effect while its response is lost
  Protects R7: an edit whose response the store lost is applied exactly once.

  Scenario: The response of an edit is lost and the edit is resent
    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    When the table service loses the response of the next 1 writes
    And an operator changes the bookings route through entry "entry-1"
    Then the edit is accepted
    And a resend of the edit through entry "entry-2" returns the first result
    And the history at entry "entry-3" holds the edit exactly once
    And the edit is in effect at all live entries within 5 seconds
    And no entry went back to an older revision
