"""Settings: the platform's file, the operators' file, and what is assumed of clocks.

Owns their fields, which stand here under the names of the files, and every check of them; it has no state machine.
Asks of others to end the program with one line and exit code 2 on `InvalidSettingsError`.
"""
