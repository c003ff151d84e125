"""What is known of upstreams: state, load, subsets."""
