"""Stand-ins for the platform, targets and clients, as the users' pages say."""
