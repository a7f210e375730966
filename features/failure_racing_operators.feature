Feature: Failure, operators race
  Protects R7: of racing edits of a row exactly the accepted ones are in its history,
  each over the version before; the others get a conflict.

  Scenario: Four operators edit two routes at once
    Given a deployment of 3 entries and 3 upstreams
    And the revisions in effect are watched
    When 4 operators race to edit the routes through all entries
    Then the histories hold exactly the accepted edits, each over the one before
    And all entries serve the rows of the last edits within 5 seconds
    And an operator of another department cannot change the route
    And no entry went back to an older revision
