"""What the process takes of its machine: its memory as one account, held to the limit of the configuration.

`resident` reads what the system says; what chooses does no input or output.
"""
