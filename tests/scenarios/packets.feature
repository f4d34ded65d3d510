Feature: Packet flows on the platform

  Background:
    Given a site with 2 entries, 2 servers of board and 1 of plans

  Scenario: Flows reach their service and get answers
    When 20 flows to board and 5 to plans send 2 requests each
    Then all answers of a flow come from one server of its service
    And no packet reached a server that does not own its flow

  Scenario: An entry is killed with open flows
    Given 20 open flows to board
    When an entry is killed
    Then all open flows continue at their servers

  Scenario: An entry stops gracefully with open flows
    Given 20 open flows to board
    When an entry gets SIGTERM
    Then it reports at once that it is not ready
    And all open flows continue at their servers
    And it has exited within 6 seconds

  Scenario: An agent is killed and restarted beside its server
    Given 20 open flows to board
    When the agent of a board server is killed and restarted
    Then all open flows continue at their servers

  Scenario: A server drains
    Given 10 open flows to board
    When a board server announces that it is draining
    Then the announcement is acknowledged
    And the next 20 flows to board go to the other server
    And all open flows continue at their servers

  Scenario: A server crashes with its agent
    Given 10 open flows to board
    When a board server and its agent are killed
    Then its callers are reset within 4 seconds
    And the flows of the other server continue

  Scenario: The address of a crashed server goes to another service
    When a board server crashes and a plans server gets its address
    Then no flow to board is opened at it in the next second
    And it gets flows to plans

  Scenario: New flows avoid a full server
    When a board server is full
    Then the next 20 flows to board go to the other server

  Scenario: A route is removed and added again
    Given 5 open flows to plans
    When the route of plans is removed
    Then its open flows are reset within 2 seconds
    And a new flow to plans is reset
    When the route of plans is added again
    Then a new flow to plans is served

  Scenario: The store does not answer when an entry starts
    When the store stops answering and an entry is killed and restarted
    Then it serves flows within 3 seconds

  Scenario: All seeds are stale
    When an agent of board is restarted with seeds that do not exist
    Then flows to board reach its server within 3 seconds

  Scenario: Settings are reloaded
    When an entry gets SIGHUP with invalid settings and then with valid ones
    Then it stays ready and has logged both

  Scenario: Another writer leaves odd entries and sends odd heartbeats
    Given 5 open flows to plans
    When another writer leaves odd entries and sends odd heartbeats to all agents
    Then all open flows continue at their servers
    When the route of plans is removed
    Then its open flows are reset within 2 seconds
    And a new flow to plans is reset
    When the route of plans is added again
    Then a new flow to plans is served
    And no process has ended or failed

  Scenario: A heartbeat of another writer names a later start
    When another writer announces a later start of a board server
    Then the server gets new flows after 5 intervals
    When a board server announces that it is draining
    Then the announcement is acknowledged
    And the next 20 flows to board go to the other server
