Feature: Operators' command-line tool

  Background:
    Given an entry that serves operators

  Scenario: A value is set, read, changed and removed
    When parsleyctl runs "settings set /teams/a {\"weight\":2}"
    Then parsleyctl exits with 0 and prints "accepted as version 1"
    When parsleyctl runs "settings get /teams/a/weight"
    Then parsleyctl exits with 0 and prints "2"
    When parsleyctl runs "settings unset /teams/a/weight"
    Then parsleyctl exits with 0 and prints "accepted as version 2"
    When parsleyctl runs "settings get /teams/a/weight"
    Then parsleyctl exits with 5 and prints "is not set"

  Scenario: All errors of a change are reported together with suggested names
    When parsleyctl runs "settings set /teams/a {\"wieght\":2,\"kinds\":{\"k\":{\"deadline_s\":-1,\"wait\":3}}}"
    Then parsleyctl exits with 3 and prints "did you mean weight?"
    And parsleyctl also prints "/teams/a/kinds/k/deadline_s: got -1"
    And parsleyctl also prints "/teams/a/kinds/k/wait: unknown setting"
    When parsleyctl runs "settings get /team/a"
    Then parsleyctl exits with 2 and prints "did you mean /teams?"

  Scenario: A conflicting change is refused with the other change and the remedy
    When parsleyctl runs "settings set /teams/a {\"weight\":2}"
    And parsleyctl runs "settings set /teams/a/weight 3 --version 0"
    Then parsleyctl exits with 4 and prints "read it again"
    And parsleyctl also prints "bootstrap changed /teams/a to version 1 first"

  Scenario: A dry run changes nothing
    When parsleyctl runs "settings set /teams/a {\"weight\":2} --dry-run"
    Then parsleyctl exits with 0 and prints "dry run"
    When parsleyctl runs "settings get /teams/a"
    Then parsleyctl exits with 5 and prints "is not set"

  Scenario: A file is compared and applied as a whole
    Given a settings file of two teams, one of them invalid
    When parsleyctl runs "settings apply FILE"
    Then parsleyctl exits with 3 and prints "nothing was changed"
    When parsleyctl runs "settings get /teams/good"
    Then parsleyctl exits with 5 and prints "is not set"
    Given a settings file of two valid teams
    When parsleyctl runs "settings diff FILE"
    Then parsleyctl exits with 1 and prints "/teams/good"
    When parsleyctl runs "settings apply FILE"
    Then parsleyctl exits with 0 and prints "2 of 2 paths differed"
    When parsleyctl runs "settings apply FILE"
    Then parsleyctl exits with 0 and prints "0 of 2 paths differed"
    When parsleyctl runs "settings diff FILE"
    Then parsleyctl exits with 0 and prints "path"

  Scenario: A draft is applied only to the version it was read at
    When parsleyctl runs "settings set /teams/a {\"weight\":2}"
    And parsleyctl runs "settings edit /teams/a DRAFT"
    Then parsleyctl exits with 0 and prints "run the same command again"
    When parsleyctl runs "settings set /teams/a/weight 3"
    And parsleyctl runs "settings edit /teams/a DRAFT"
    Then parsleyctl exits with 4 and prints "read it again"

  Scenario: The audit trail contains author, time, source, old and new value
    When parsleyctl runs "settings set /teams/a/weight 2"
    And parsleyctl runs "settings set /teams/a/weight 3"
    And parsleyctl runs "settings history /teams/a --json"
    Then parsleyctl prints a trail of 2 changes, the newest first

  Scenario: Waiting ends when the revision is in force, or names the nodes where it is not
    When parsleyctl runs "settings set /teams/a/weight 2"
    And parsleyctl runs "settings wait 1"
    Then parsleyctl exits with 0 and prints "in force on 1 nodes"
    When parsleyctl runs "settings wait 1000000000 --timeout-s 0.3"
    Then parsleyctl exits with 8 and prints "not in force on: n0"

  Scenario: Teams, endpoints and status are shown
    When parsleyctl runs "settings set /teams/a/weight 2"
    And parsleyctl runs "settings set /fleet/endpoints/e1 {\"address\":\"127.0.0.1:9\",\"models\":[\"m\"]}"
    And parsleyctl runs "endpoints"
    Then parsleyctl exits with 0 and prints "127.0.0.1:9"
    When parsleyctl runs "teams"
    Then parsleyctl exits with 0 and prints "keys"
    When parsleyctl runs "status"
    Then parsleyctl exits with 0 and prints "n0"
    When parsleyctl runs "jobs"
    Then parsleyctl exits with 0 and prints "job-1"
    When parsleyctl runs "audit /fleet"
    Then parsleyctl exits with 0 and prints "bootstrap"

  Scenario: Keys and roles are checked
    When parsleyctl runs "settings get /fleet" with the key "wrong"
    Then parsleyctl exits with 1 and prints "unknown or missing operator's key"
    When parsleyctl sets an operator with the key "reader-key" and the role read
    And parsleyctl runs "settings set /teams/a/weight 2" with the key "reader-key"
    Then parsleyctl exits with 1 and prints "may only read"
    When parsleyctl sets an operator with the key "writer-key" and the role write
    And parsleyctl runs "settings set /teams/a/weight 2"
    Then parsleyctl exits with 1 and prints "unknown or missing operator's key"
    When parsleyctl runs "settings set /teams/a/weight 2" with the key "writer-key"
    Then parsleyctl exits with 0 and prints "accepted"

  Scenario: An unreachable entry has another exit code than a refusal
    When parsleyctl runs "settings get /fleet --entry 127.0.0.1:1"
    Then parsleyctl exits with 6 and prints "name another entry"

  Scenario: An unreadable stored record is reported with the remedy
    Given a settings record of "teams/a" that cannot be read
    When parsleyctl runs "settings get /teams/a"
    Then parsleyctl exits with 1 and prints "restore it from the audit trail"
