"""The configuration in force: watched in the store, pushed and pulled between the entries."""
