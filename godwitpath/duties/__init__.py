"""Duties: singleton tasks that one entry (gateway process) runs for all entries under a lease.

The entry that runs a duty is its holder. A term is the time from the acquisition of a duty by a
holder to its release or loss. For each duty the live entries are ranked by rendezvous hashing: the
first in rank acquires the duty, and the second replaces a failed first.
"""
