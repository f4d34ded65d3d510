Feature: The whole path from callers to backend servers

  Scenario: An entry dies and another joins while packets are sprayed
    Given a site with 3 swap-desk servers and 2 entries
    And 20 feeds of swap-desk
    When 10 callers send proposals in the background
    And 1 seconds pass
    And entry-0 is killed
    And 0.5 seconds pass
    And the fabric sprays packets over 1 entries
    And entry-9 joins in attica-2
    And the fabric sprays packets over 2 entries
    And 2 seconds pass
    And the callers stop sending proposals
    Then every proposal was answered once
    And no feed is broken and no event is lost or duplicated

  Scenario: A photo set and an upload are transferred in bounded memory
    Given a site with 1 swap-desk servers and 1 entries
    When a photo set of 20000000 bytes is fetched
    And 8000000 bytes are uploaded to a slow server
    Then both transfers are complete
    And the memory of catalogue-0 grew by less than 16 MB

  Scenario: A request that its caller cancels is cancelled at the server
    Given a site with 1 swap-desk servers and 1 entries
    When a caller cancels a proposal of 5 seconds
    Then the server has seen it cancelled within 1 seconds
    And the slot is free for the next proposal

  Scenario: A request past its deadline gets its final answer at once
    Given a site with 1 swap-desk servers, 1 entries and a deadline of 1 seconds
    When a proposal of 5 seconds is sent with a second one behind it
    Then the first is answered as unknown after 1 seconds
    And the second is answered as not run and did not run
    And the server was told the deadline

  Scenario: A truncated response is never taken for a complete one
    Given a site with 1 swap-desk servers and 1 entries
    When a caller fetches a truncated response
    Then the caller sees a broken stream

  Scenario: Malformed input does no harm
    Given a site with 1 swap-desk servers and 1 entries
    And 2 feeds of swap-desk
    When random datagrams are sent to every port of the site
    And a caller sends an oversized header
    And a connection id of swap-desk is sent to catalogue
    And 2 callers send 2 proposals each
    Then every proposal was answered once
    And no feed is broken and no event is lost or duplicated
    And the oversized header was refused with status 431
    And malformed datagrams and foreign connection ids were counted

  Scenario: Processes stop gracefully
    Given a site with 2 swap-desk servers and 2 entries
    When 5 callers send 2 proposals each
    Then every proposal was answered once
    And entry-0 exits with code 0 on SIGTERM
    And desk-0 exits with code 0 on SIGTERM
