"""Stand-ins and checks for tests, also for users of the library."""
