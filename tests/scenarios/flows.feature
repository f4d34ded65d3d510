Feature: Flows survive planned changes

  Scenario: A backend server is drained and returned
    Given a site with 4 swap-desk servers and 2 entries
    And 40 feeds of swap-desk
    When 8 callers send proposals in the background
    And operators drain desk-0
    Then desk-0 has no flows left within 15 seconds
    And desk-0 has received no proposal after 2 seconds of its drain
    When operators end the drain of desk-0
    Then the flows are balanced within 20 seconds
    When the callers stop sending proposals
    Then every proposal was answered once
    And no feed is broken and no event is lost or duplicated

  Scenario: A zone closes while entries die, freeze and join and the store is down
    Given a site with 6 swap-desk servers and 3 entries
    And 40 feeds of swap-desk
    When 8 callers send proposals in the background
    And operators close zone attica-2
    And store is killed
    And entry-0 is killed
    And the fabric sprays packets over 2 entries
    And entry-1 is frozen for 3 seconds
    And entry-9 joins in attica-1 through a contact
    And the fabric sprays packets over 3 entries
    Then desk-1 has no flows left within 15 seconds
    And desk-4 has no flows left within 15 seconds
    When the callers stop sending proposals
    Then every proposal was answered once
    And no feed is broken and no event is lost or duplicated

  Scenario: An agent is stopped
    Given a site with 3 swap-desk servers and 2 entries
    And 20 feeds of swap-desk
    When 5 callers send proposals in the background
    Then desk-1 exits with code 0 on SIGTERM
    When 2 seconds pass
    And the callers stop sending proposals
    Then every proposal was answered once
    And no feed is broken and no event is lost or duplicated

  Scenario: A drain waits and reports it while no server has capacity
    Given a site with 2 swap-desk servers, 1 entries and 10 connections each
    And 14 feeds of swap-desk
    When operators drain desk-0
    And 3 seconds pass
    Then desk-0 reports that flows are waiting
    And no feed is broken and no event is lost or duplicated

  Scenario: A restart of a backend server does not break its feeds
    Given a site with 2 swap-desk servers and 1 entries
    And 10 feeds of swap-desk
    When the backend server of desk-0 is restarted
    And 3 seconds pass
    Then no feed is broken and no event is lost or duplicated

  Scenario: An agent dies
    Given a site with 3 swap-desk servers and 2 entries
    And 30 feeds of swap-desk
    When desk-0 is killed
    And 4 seconds pass
    Then only the feeds of desk-0 are broken
    And their callers were notified within 1 seconds of their next packet

  Scenario: An agent is replaced at its address
    Given a site with 3 swap-desk servers and 2 entries
    And 12 feeds of swap-desk
    When desk-0 is killed
    And desk-0 is started again
    And 4 seconds pass
    Then only the feeds of desk-0 are broken
    And 6 callers can send 1 proposals each

  Scenario: A silent connection times out while others continue
    Given a site with 2 swap-desk servers, 1 entries and an idle timeout of 2 seconds
    And 6 feeds of swap-desk
    When 2 of the callers disappear without closing their connections
    Then the agents have closed 2 flows within 5 seconds
    And the feeds of the other callers continue
