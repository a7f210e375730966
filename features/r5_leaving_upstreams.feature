Feature: R5, leaving upstreams
  Protects R5: an upstream that is leaving gets no new work 5 s after its first
  notice, from no entry, also from one that starts later.

  Scenario: One upstream drains and the VM list shows another as leaving
    Given a deployment of 3 entries and 3 upstreams
    And 4 callers send lookups and bookings
    And the load runs for 0.5 seconds
    When upstream "upstream-1" marks its answers as draining
    And the VM list shows upstream "upstream-2" as leaving
    And one more entry is started
    And the load runs for 7 seconds
    And the load stops
    Then the new entry becomes ready within 15 seconds
    And upstream "upstream-1" got no new work later than 5 s after its notice
    And upstream "upstream-2" got no new work later than 5 s after its notice
    And every lookup is answered
    And no call is lost, doubled, partial, mismatched or wrongly reported as not run
