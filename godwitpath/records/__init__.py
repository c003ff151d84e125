"""Request records and their backup copies.

An entry is a process of the entry daemon. One entry holds a record: it works on the request. A
backup entry has a copy of the record and adopts it, that is, becomes the holder, if the holder
fails. The record's epoch rises whenever the holder or the backup changes. A holder is
fenced, that is, made to stop work on the request, once it learns of a holder in a higher epoch.
"""
