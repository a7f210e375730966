Feature: R6, planned stops
  Protects R6: a planned stop of an entry interrupts no request in flight, and R4:
  the keys of the entry that stopped run at most once.

  Scenario: An entry is replaced under load
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers resend every booking through any entry
    And the load runs for 0.5 seconds
    When one more entry is started
    And a caller learns of entry "entry-1" from entry "entry-2"
    And entry "entry-1" is told to stop
    And a caller uses entry "entry-1" while the responses of entry "entry-2" allow it
    And the load runs for 2 seconds
    And the load stops
    Then none of its connections was refused or broken
    And entry "entry-1" exits gracefully without an interrupted request
    And the new entry becomes ready within 15 seconds
    And every lookup is answered
    And every booking is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
