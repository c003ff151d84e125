"""Choice of the engine that runs a call.

An entry is a gateway process. An engine is an upstream that runs generation calls.
"""
