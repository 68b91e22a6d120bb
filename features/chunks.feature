Feature: Chunks survive what disks and disk VMs do

  Scenario: A chunk folder returns what was written, also after a restart
    When chunks of any content are written to a folder that is opened again
    Then each is read back unchanged and unfinished files are gone

  Scenario: A damaged chunk file is never returned
    When any byte of a chunk file is changed or the file is cut
    Then reading it reports damage or nothing

  Scenario: Copies go to three failure domains
    When a chunk is put with 5 disk VMs in 3 failure domains
    Then 3 copies lie in 3 failure domains

  @promise-1 @fault-corrupt
  Scenario: A damaged copy is read elsewhere and written again
    When one copy of a chunk is damaged and the chunk is read
    Then the right bytes are returned and all copies are whole again

  @promise-1 @fault-disk
  Scenario: A chunk is never acknowledged with fewer than two copies
    When a large chunk is put while one failure domain can be reached
    Then it is refused and the refusal names the remedy

  Scenario: A small chunk goes to the key-value service when one disk VM is left
    When small chunks are put while one failure domain can be reached
    Then they are kept and read back after the disk is lost, up to the byte budget

  @promise-1 @fault-disk-full
  Scenario: A full disk is passed over
    When a chunk is put while one of 4 disk VMs is full
    Then copies lie on three others

  @promise-1 @fault-disk
  Scenario: Copies lost with a disk VM are written elsewhere
    When a disk VM is lost for good
    Then its chunks have three copies again and the newest loss was repaired first

  Scenario: A disk VM that stops as planned leaves no chunk short of copies
    When a disk VM stops as planned
    Then its chunks have three copies without it

  Scenario: The audit finds damage that nobody has read
    When a copy is damaged that nobody reads
    Then the audit finds it and writes it again

  Scenario: What a part's manifest has replaced is let go and the rest stays
    When a part is released but for one chunk of its results
    Then only that chunk and manifests keep their time
