Feature: Failure, open connections become silent
  Protects R2, R3 and R4: requests on connections that went silent are not answered
  with others' responses; new connections to the same upstream work.

  @known_red
  Scenario: The open connections of two upstreams become silent
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When the open connections of upstream "upstream-1" become silent
    And the open connections of upstream "upstream-2" become silent
    And the load runs for 3 seconds
    And the load stops
    Then every lookup is answered
    And at most 4 bookings stay unknown
    And upstream "upstream-1" got work after the fault
    And upstream "upstream-2" got work after the fault
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
