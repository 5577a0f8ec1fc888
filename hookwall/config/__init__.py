"""Settings: the platform's file, the operators' file, and what is assumed of clocks."""
