"""Decision records: which decisions were made about a request or configuration, and why.

An entry is a process of the entry daemon; it makes decisions and keeps records of them. The
subject of a record is the request or configuration change that the decision is about.
"""
