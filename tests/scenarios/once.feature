Feature: A proposal runs at most once

  Scenario: A proposal that is resubmitted while it runs gets the same answer
    Given a site with 3 swap-desk servers and 2 entries
    When a proposal of 1 seconds is sent on 3 flows at once
    Then all 3 submissions got the same answer
    And no proposal ran twice

  Scenario: A proposal that is resubmitted after its answer gets the same answer
    Given a site with 3 swap-desk servers and 2 entries
    When a proposal of 0 seconds is sent on 4 flows one after the other
    Then all 4 submissions got the same answer
    And no proposal ran twice

  Scenario: A proposal that was shed may run later
    Given a site with 1 swap-desk servers and 1 entries
    When the server of desk-0 sheds load
    And a proposal is refused as not run
    And the server of desk-0 stops shedding load
    And the same proposal is sent again
    Then it is answered
    And no proposal ran twice

  Scenario: Agents die, freeze and leave while callers resubmit
    Given a site with 5 swap-desk servers and 2 entries
    When 10 callers send proposals and resubmit them on other flows
    And 1 seconds pass
    And desk-1 is killed
    And 1 seconds pass
    And desk-2 is frozen for 2 seconds
    And desk-1 is started again
    And store is killed
    And 2 seconds pass
    And desk-3 is stopped in the background
    And 4 seconds pass
    And the callers stop resubmitting
    Then no proposal ran twice
    And no proposal that ran got only not-run answers
    When the store is running again
    And 8 seconds pass
    Then 5 callers can send 3 proposals each

  Scenario: The agent that runs a proposal and another agent die together
    Given a site with 5 swap-desk servers and 2 entries
    When a proposal of 3 seconds is sent
    And the agent that runs it and another agent are killed
    And the same proposal is sent on 3 flows
    Then no proposal ran twice
