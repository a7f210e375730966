Feature: Failure, open connections become silent
  Protects R2, R3 and R4: requests on connections that went silent are not answered
  with others' responses; new connections to the same upstream work.

  # An entry may start a booking on a connection that was used up to 1 s before, waits
  # 1.5 s for it, and prefers others while the failure weighs, for 1 s; a second failure
  # ejects the upstream for up to 3 s. The load goes on until after that.
  Scenario: The open connections of two upstreams become silent
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When the open connections of upstream "upstream-1" become silent
    And the open connections of upstream "upstream-2" become silent
    And the load runs for 6 seconds
    And the load stops
    Then every lookup is answered
    And at most 4 bookings stay unknown
    And upstream "upstream-1" got work after the fault
    And upstream "upstream-2" got work after the fault
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
