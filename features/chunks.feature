Feature: Chunks survive failures of disks and disk VMs

  Scenario: A chunk folder returns what was written, even after a restart
    When chunks of any content are written to a folder that is opened again
    Then each chunk is read unchanged and unfinished files are deleted

  Scenario: A damaged chunk file is never returned
    When any byte of a chunk file is changed or the file is truncated
    Then a read reports corruption or no chunk

  Scenario: Copies go to three failure domains
    When a chunk is put with 5 disk VMs in 3 failure domains
    Then 3 copies are stored in 3 failure domains

  @promise-1 @fault-corrupt
  Scenario: A damaged copy is read from another disk VM and restored
    When one copy of a chunk is damaged and the chunk is read
    Then the original bytes are returned and all copies are intact again

  @promise-1 @fault-disk
  Scenario: A chunk is never acknowledged with fewer than two copies
    When a large chunk is put while only one failure domain is reachable
    Then it is refused with instructions to correct the problem

  Scenario: A small chunk is stored in the key-value service when one disk VM is left
    When small chunks are put while only one failure domain is reachable
    Then they can be read after the disk is lost, up to the byte limit

  @promise-1 @fault-disk-full
  Scenario: A full disk is skipped
    When a chunk is put while one of 4 disk VMs is full
    Then copies are stored on the three others

  @promise-1 @fault-disk
  Scenario: Copies lost with a disk VM are restored on others
    When a disk VM is lost permanently
    Then its chunks have three copies again and the newest loss was repaired first

  Scenario: A graceful shutdown of a disk VM leaves every chunk with enough copies
    When a disk VM shuts down gracefully
    Then its chunks have three copies without it

  Scenario: Scrubbing detects damage that no read has found
    When a copy is damaged and no client reads it
    Then scrubbing detects it and restores the copy

  Scenario: Chunks superseded by a part's manifest are released and others stay
    When a part is released except for one chunk of its results
    Then only that chunk and manifests keep their expiry time
