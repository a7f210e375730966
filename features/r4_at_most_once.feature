Feature: R4, at most once
  Protects R4: a booking runs at most once when its caller resends it through other
  entries, at once or after its entry was replaced.

  Scenario: A booking is sent through all entries at once
    Given a deployment of 3 entries and 3 upstreams
    And every upstream takes 100 ms for a request
    And a booking with a key of entry "entry-1"
    When the booking is sent through entry "entry-1"
    And the booking is sent through all entries at once, several times
    Then the booking ran exactly once
    And some reply is the answer of the upstream

  Scenario: A fresh booking races through all entries
    Given a deployment of 3 entries and 3 upstreams
    And every upstream takes 100 ms for a request
    And a booking with a key of entry "entry-2"
    When the booking is sent through all entries at once, several times
    Then the booking ran at most once, and not at all where a reply said so

  Scenario: A resend after a planned replacement gets the recorded answer
    Given a deployment of 3 entries and 3 upstreams
    And a booking with a key of entry "entry-1"
    When the booking is sent through entry "entry-1"
    And one more entry is started
    And entry "entry-1" is told to stop
    Then the new entry becomes ready within 15 seconds
    And entry "entry-1" exits gracefully without an interrupted request
    When the booking is sent through entry "entry-2" until the key is known
    And the booking is sent through entry "entry-3" until the key is known
    Then entry "entry-2" replied with the answer of the upstream
    And entry "entry-3" replied with the answer of the upstream
    And the booking ran exactly once
