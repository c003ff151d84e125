"""The gateway: serves callers on the users' platform, in front of self-registering engines.

It shares the decision logic with the first form of the daemon and adds what the platform needs:
routes by host and prefix, requests forwarded byte for byte, engines discovered in the platform's
store, and duties under one lease. It contains none of the platform's wire names;
`godwitpath.platform` translates them.
"""
