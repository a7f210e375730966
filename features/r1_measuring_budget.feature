Feature: R1, the measuring budget
  Protects R1: the probes of an upstream stay within its budget, summed over all
  entries and counted at the upstream, while entries are replaced.

  Scenario: An entry is killed, one joins and one stops
    Given a deployment of 3 entries and 2 upstreams
    When every upstream was probed
    And entry "entry-1" is killed
    And one more entry is started
    Then the new entry becomes ready within 15 seconds
    When entry "entry-2" is told to stop
    Then entry "entry-2" exits gracefully without an interrupted request
    And probing has gone on
    And no upstream had more probes in any second than its budget allows
