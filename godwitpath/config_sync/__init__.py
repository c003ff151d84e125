"""Distribution of the configuration in force: store watches, peer pushes and peer pulls."""
