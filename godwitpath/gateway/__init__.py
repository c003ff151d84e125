"""The gateway: serves callers on the users' platform, in front of engines that register themselves.

It shares with the first form what decides, and brings what that platform needs: routes by host and
prefix, requests forwarded byte for byte, engines found in the platform's store, duties under one
lease. It knows none of the platform's wire names; `godwitpath.platform` translates them.
"""
