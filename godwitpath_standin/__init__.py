"""Stand-ins of the platform and of upstreams, and the load tool; not part of the product."""
