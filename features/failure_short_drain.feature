Feature: Failure, an upstream drains without much warning
  Protects R4 and R5: an upstream that ends one second after its first notice loses
  no lookup and doubles no booking.

  Scenario: An upstream drains and is killed one second later
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 1 seconds
    When upstream "upstream-1" marks its answers as draining
    And the load runs for 1 seconds
    And upstream "upstream-1" is killed
    And the load runs for 1.5 seconds
    And the load stops
    Then every lookup is answered
    And at most 3 bookings stay unknown
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
