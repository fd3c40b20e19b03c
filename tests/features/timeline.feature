@no_fleet
Feature: The time line in files

  Scenario: A line that a crash cut off hides no later event
    Given a file in which a crash cut off the third event
    When the restarted process records two more events
    Then all events but the third are read
