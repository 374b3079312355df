"""The command-line programs and the subcommands of ``guavachute``."""
