"""The entry daemon: wiring, caller and operator APIs, and dispatch of requests.

An entry is a process of this daemon. It accepts requests of callers and dispatches them to
upstreams: engines for generations, and the instances of plain services for plain calls.
"""
