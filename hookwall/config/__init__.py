"""Settings: the platform's file, the operators' file, and the assumptions about clocks.

Owns the fields of both files, under the names that the files use, and every check of them. There is no state machine.
On `InvalidSettingsError` the caller must end the program with one line and exit code 2.
"""
