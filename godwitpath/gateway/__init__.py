"""The gateway: serves callers on the users' platform, in front of self-registering engines.

In this package, a daemon is one gateway process. A peer is another daemon of the same deployment,
and an engine is a server on the platform that processes requests of one service.

The gateway shares the decision logic with the older daemon in `godwitpath.entry` and adds what the
platform needs: routes by host and prefix, requests forwarded byte for byte, engines discovered in
the platform's store, and duties under one lease, which are tasks that one daemon does for the whole
deployment. The gateway contains none of the platform's wire names; `godwitpath.platform` translates
them.
"""
