Feature: Pairs of failures
  Failures coincide. Each scenario brings about two or three of them at once.

  Scenario: The store is down while an entry is replaced while an upstream drains
    Protects R5, R6 and R7: the new entry gets tables and drain notices from its
    peers, and the stop interrupts nothing.

    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    And 4 callers send lookups and bookings
    When an operator changes the bookings route through entry "entry-1"
    Then the edit is accepted
    When the table service is down
    And upstream "upstream-1" marks its answers as draining
    And one more entry is started
    Then the new entry becomes ready within 15 seconds
    When entry "entry-1" is told to stop
    And the load runs for 5.5 seconds
    And the load stops
    Then entry "entry-1" exits gracefully without an interrupted request
    And upstream "upstream-1" got no new work later than 5 s after its notice
    And the edit is in effect at all live entries within 5 seconds
    And no entry went back to an older revision
    And every lookup is answered
    And every booking is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: An entry is killed while the store is down
    Protects R3, R4 and R7: the keys of the killed entry are not run elsewhere, and the
    tables in effect stay.

    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    And 4 callers resend every booking through any entry
    When an operator changes the bookings route through entry "entry-2"
    Then the edit is accepted
    When the table service is down
    And the load runs for 0.5 seconds
    And entry "entry-2" is killed
    And the load runs for 1.5 seconds
    And the load stops
    Then the edit is in effect at all live entries within 5 seconds
    And no entry went back to an older revision
    And every lookup is answered
    And at most 4 bookings stay unknown
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  @known_red
  Scenario: A request crashes upstreams while an entry is replaced
    Protects the upstreams and R6: also an entry that joins knows of the crashes; at
    most 3 upstreams are lost.

    Given a deployment of 3 entries and 5 upstreams
    And 4 callers send lookups and bookings
    When one more entry is started
    And entry "entry-1" is told to stop
    And a caller resends a request that crashes its upstream through every entry
    And the load stops
    Then it crashed at least 1 and at most 3 upstreams
    And entry "entry-1" exits gracefully without an interrupted request
    And every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: Responses of commits are lost while operators race
    Protects R7: exactly the accepted edits are in the history, none twice.

    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    When the table service loses the response of the next 5 writes
    And 4 operators race to edit the routes through all entries
    Then the histories hold exactly the accepted edits, each over the one before
    And all entries serve the rows of the last edits within 5 seconds
    And no entry went back to an older revision

  Scenario: A paused entry's booking is resent elsewhere
    Protects R3 and R4: while the owner of a key is paused the booking is unknown and
    does not run elsewhere; after it resumes, the booking ran at most once.

    Given a deployment of 3 entries and 3 upstreams
    And a booking with a key of entry "entry-1"
    When entry "entry-1" is paused
    And the booking is sent through entry "entry-2"
    Then the last reply is "unknown"
    When the booking is sent through entry "entry-3"
    Then the last reply is "unknown"
    When entry "entry-1" resumes
    And the booking is sent through all entries at once, several times
    Then the booking ran at most once, and not at all where a reply said so

  Scenario: An upstream's connections become silent while another fails fast
    Protects R2, R3 and R4: neither fault doubles a booking or leaves a lookup
    without an answer.

    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When the open connections of upstream "upstream-1" become silent
    And upstream "upstream-2" fails fast on every request
    And the load runs for 3 seconds
    And the load stops
    Then every lookup is answered
    And upstream "upstream-1" got work after the fault
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: An upstream is killed while an entry is killed
    Protects R3 and R4: what both were running is unknown and not run again.

    Given a deployment of 3 entries and 3 upstreams
    And every upstream takes 20 ms for a request
    And 6 callers resend every booking through any entry
    And the load runs for 0.5 seconds
    When upstream "upstream-2" is killed
    And entry "entry-3" is killed
    And the load runs for 1.5 seconds
    And the load stops
    Then every lookup is answered
    And at most 9 bookings stay unknown
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run

  Scenario: Bodies are truncated while an entry stops
    Protects R2, R4 and R6: a cut body counts as a lost connection, which must not
    end the graceful stop or run a booking twice.

    Given a deployment of 3 entries and 3 upstreams
    And upstream "upstream-1" sends half of its bodies truncated
    And 4 callers resend every booking through any entry
    When entry "entry-2" is told to stop
    And the load runs for 2.5 seconds
    And the load stops
    Then entry "entry-2" exits gracefully without an interrupted request
    And every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
